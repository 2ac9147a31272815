//! New weights: each engine is ordered once at a time, by one node, and all get there.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::site::ALL_IN_TIME;
use crate::site::Call;
use crate::site::NodeAddresses;
use crate::site::Site;
use crate::site::SiteNode;
use redwingrill_lab::metadata_store::StoreFault;
use redwingrill_lab::site_upstream::Behaviour;
use redwingrill_lab::soak::Link;
use redwingrill_lab::soak::LinkState;

#[tokio::test]
async fn engines_take_the_version_by_one_holder() {
    let site = Site::start(4, 0).await;
    let nodes = [site.node("n1").await, site.node("n2").await];
    site.name_version(2);
    site.wait_for_version(2).await;
    for engine in &site.engines {
        let orders = engine.orders();
        assert_eq!(orders.len(), 1);
        assert_eq!(orders[0]["strategy"], "wait");
        assert_eq!(orders[0]["expect"], 0);
    }
    let holders: std::collections::HashSet<String> = site
        .engines
        .iter()
        .flat_map(|engine| engine.orders())
        .map(|order| format!("{} {}", order["holder"], order["fence"]))
        .collect();
    assert_eq!(holders.len(), 1, "{holders:?}");
    let answer = site.ask(&nodes[0], &Call::new("check", "r1")).await;
    assert!(answer.is_signed());
    let seen = site.engines.iter().flat_map(|engine| engine.seen()).next_back();
    let seen = seen.expect("a request");
    assert_eq!(seen.header("x-cache-salt"), Some("w2/cafe"));
    assert_eq!(seen.header("x-expect-version"), Some("2"));
    site.stop(nodes.into()).await;
}

#[tokio::test]
async fn a_version_that_was_overtaken_is_skipped() {
    let site = Site::start(4, 0).await;
    let node = site.node("n1").await;
    site.name_version(2);
    site.name_version(3);
    site.wait_for_version(3).await;
    let orders = site.engines.iter().flat_map(|engine| engine.orders());
    assert!(orders.into_iter().all(|order| order["version"] == 3));
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn another_node_goes_on_when_the_holder_ends() {
    let site = Site::start(6, 0).await;
    let first = site.node("n1").await;
    let second = site.node("n2").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.name_version(2);
    let ends = Instant::now() + ALL_IN_TIME;
    while site.engines.iter().all(|engine| engine.orders().is_empty()) {
        assert!(Instant::now() < ends, "no order");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    first.node.drain().await.finish().await;
    site.wait_for_version(2).await;
    let fences = site.engines.iter().flat_map(|engine| engine.orders());
    let fences: Vec<u64> = fences.filter_map(|order| order["fence"].as_u64()).collect();
    assert!(fences.iter().all(|fence| *fence > 0));
    site.stop(vec![second]).await;
}

#[tokio::test]
async fn a_store_outage_delays_the_roll_out_and_no_more() {
    let site = Site::start(3, 0).await;
    let node = site.node("n1").await;
    site.name_version(2);
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.state.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.store.state.set_fault(StoreFault::None);
    site.wait_for_version(2).await;
    site.engines.iter().for_each(|engine| engine.set(Behaviour::Serves));
    let answer = site.ask(&node, &Call::new("draft", "r1")).await;
    assert_eq!(answer.events().len(), 6);
    site.stop(vec![node]).await;
}

/// A killed process forgets when it saw a version published; the limit counts on.
#[tokio::test]
async fn restarted_node_does_not_use_expired_weights() {
    const LIMIT: Duration = Duration::from_secs(6);
    let mut site = Site::start(2, 0).await;
    site.stale_version_limit = LIMIT;
    // While another node leads the roll-out and does nothing, the engines keep version 1.
    let leader = json!({"name": "n0", "tenure": 1, "loading": []});
    site.store.state.put("redwingrill/rollout/holder", leader.to_string());
    let first = site.node("n1").await;
    site.name_version(2);
    let published = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let second = site.node("n2").await;
    for node in [&first, &second] {
        let answer = site.ask(node, &Call::new("draft", "r1")).await;
        assert_eq!(answer.status, StatusCode::OK, "older weights can still be used");
    }
    for node in [first, second] {
        node.node.drain().await.finish().await;
    }
    tokio::time::sleep_until(published + LIMIT).await;
    let restarted = site.node("n1").await;
    let runs = |site: &Site| site.engines.iter().map(|engine| engine.runs()).sum::<usize>();
    let runs_before = runs(&site);
    let answer = site.ask(&restarted, &Call::new("draft", "r2")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(runs(&site), runs_before);
    site.stop(vec![restarted]).await;
}

/// A node whose process can be killed: it runs on a runtime of its own, whose end leaves its key as
/// it is.
struct KilledNode {
    site: Arc<Site>,
    addresses: NodeAddresses,
    process: Runtime,
}

impl KilledNode {
    fn start(site: &Arc<Site>) -> Self {
        let (site, addresses) = (site.clone(), NodeAddresses::new());
        let process = Runtime::new().expect("threads for a runtime");
        process.spawn({
            let site = site.clone();
            async move {
                let store = site.store.address();
                let _node = site.start_node_at("n1", addresses, store, Vec::new()).await;
                std::future::pending::<()>().await;
            }
        });
        Self { site, addresses, process }
    }

    /// Kills the process and starts the node again.
    async fn restart(self) -> SiteNode {
        let Self { site, addresses, process } = self;
        process.shutdown_background();
        let store = site.store.address();
        loop {
            match site.start_node_at("n1", addresses, store, Vec::new()).await {
                Ok(node) => return node,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

fn orders(site: &Site) -> usize {
    site.engines.iter().map(|engine| engine.orders().len()).sum()
}

async fn wait_for_orders(site: &Site, count: usize) {
    let ends = Instant::now() + ALL_IN_TIME;
    while orders(site) < count {
        assert!(Instant::now() < ends, "fewer than {count} commands");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The instance of the killed process leads on: no other one may have led meanwhile.
#[tokio::test]
async fn restarted_leader_does_not_wait_for_its_own_lease() {
    let mut site = Site::start(8, 0).await;
    site.rollout_lease = Duration::from_secs(3);
    let (lease, site) = (site.rollout_lease, Arc::new(site));
    let killed = KilledNode::start(&site);
    site.name_version(2);
    wait_for_orders(&site, 2).await;
    let before = orders(&site);
    let restarted = Instant::now();
    let node = killed.restart().await;
    wait_for_orders(&site, before + 1).await;
    let took = restarted.elapsed();
    assert!(took < lease, "{took:?}");
    site.wait_for_version(2).await;
    let mut fences: Vec<u64> = site
        .engines
        .iter()
        .flat_map(|engine| engine.orders())
        .filter_map(|order| order["fence"].as_u64())
        .collect();
    fences.sort_unstable();
    fences.dedup();
    assert_eq!(fences.len(), 2, "the second process has a fencing number of its own: {fences:?}");
    node.node.drain().await.finish().await;
}

/// Two of ten engines may load at once.
#[tokio::test]
async fn restarted_leader_does_not_command_more_engines_than_may_load() {
    const LOAD: Duration = Duration::from_secs(3);
    let site = Arc::new(Site::start(10, 0).await);
    site.engines.iter().for_each(|engine| engine.set_load_time(LOAD));
    let killed = KilledNode::start(&site);
    site.name_version(2);
    wait_for_orders(&site, 2).await;
    let node = killed.restart().await;
    tokio::time::sleep(LOAD / 2).await;
    assert_eq!(orders(&site), 2);
    site.engines.iter().for_each(|engine| engine.set_load_time(Duration::ZERO));
    site.wait_for_version(2).await;
    node.node.drain().await.finish().await;
}

/// A version is published while engines load the one before, and then their leader restarts.
#[tokio::test]
async fn restarted_leader_waits_for_completed_loads_of_a_superseded_version() {
    const LOAD: Duration = Duration::from_secs(2);
    const MARGIN: Duration = Duration::from_secs(4);
    let site = Arc::new(Site::start(10, 0).await);
    site.engines.iter().for_each(|engine| engine.set_load_time(LOAD));
    let killed = KilledNode::start(&site);
    site.name_version(2);
    wait_for_orders(&site, 2).await;
    site.engines.iter().for_each(|engine| engine.set_load_time(Duration::ZERO));
    site.name_version(3);
    let restarted = Instant::now();
    let node = killed.restart().await;
    site.wait_for_version(3).await;
    let took = restarted.elapsed();
    assert!(took < LOAD + MARGIN, "{took:?}");
    node.node.drain().await.finish().await;
}

/// A suspended node learns late of a version, which is then no younger than it is to the others.
#[tokio::test]
async fn suspended_node_does_not_use_expired_weights() {
    const LIMIT: Duration = Duration::from_secs(6);
    const SUSPENDED: Duration = Duration::from_secs(3);
    let mut site = Site::start(2, 0).await;
    site.stale_version_limit = LIMIT;
    let leader = json!({"name": "n0", "tenure": 1, "loading": []});
    site.store.state.put("redwingrill/rollout/holder", leader.to_string());
    let site = Arc::new(site);
    let running = site.node("n1").await;
    // All tasks of the other node share one thread, so a sleep there suspends the node.
    let (suspend, suspended) = oneshot::channel();
    let (ready, is_ready) = oneshot::channel();
    let (end, ended) = oneshot::channel::<()>();
    let thread = std::thread::spawn({
        let site = site.clone();
        move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let node = site.node("n2").await;
                ready.send(node.callers).expect("the test waits");
                suspended.await.expect("the test runs");
                std::thread::sleep(SUSPENDED);
                ended.await.expect("the test runs");
                node.node.drain().await.finish().await;
            });
        }
    });
    let callers = is_ready.await.expect("the node starts");
    suspend.send(()).expect("the node runs");
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.name_version(2);
    let published = Instant::now();
    tokio::time::sleep_until(published + SUSPENDED).await;
    let call = Call::new("draft", "r1");
    let answer = Site::ask_at(&site.pool, callers, &call).await.expect("the node answers");
    assert_eq!(answer.status, StatusCode::OK, "older weights can still be used");
    tokio::time::sleep_until(published + LIMIT).await;
    let call = Call::new("draft", "r2");
    let answer = Site::ask_at(&site.pool, callers, &call).await.expect("the node answers");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    end.send(()).expect("the node runs");
    tokio::task::spawn_blocking(|| thread.join()).await.expect("no panic").expect("no panic");
    running.node.drain().await.finish().await;
}

/// The store falls silent for all nodes of one failure domain, and then new weights are named. These
/// nodes hear of them late, and may go on with the older weights only once a node of another domain
/// has recorded the age of the new ones.
#[tokio::test]
async fn domain_without_the_store_refuses_while_new_weights_are_rolled_out() {
    const CUT_NODES: usize = 9;
    let site = Site::start(4, 0).await;
    site.engines.iter().for_each(|engine| engine.set_load_time(Duration::from_secs(15)));
    let link = Link::start(site.store.address()).await.expect("a free port");
    let mut nodes = Vec::new();
    for n in 0..CUT_NODES {
        nodes.push(site.start_node(&format!("a-{n}"), link.address, Vec::new()).await);
    }
    nodes.push(site.start_node("b-0", site.store.address(), Vec::new()).await);
    for node in &nodes {
        site.wait("the node is ready", async || site.is_ready(node).await).await;
    }
    link.set(LinkState::Silent);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.name_version(2);
    tokio::time::sleep(Duration::from_millis(1_500)).await;

    let ends = Instant::now() + Duration::from_secs(2);
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < ends {
        for node in &nodes[..CUT_NODES] {
            let answer = site.ask(node, &Call::new("check", &format!("r{asked}"))).await;
            asked += 1;
            served += usize::from(answer.status == StatusCode::OK);
        }
    }
    assert!(asked >= CUT_NODES && served == asked, "{served} of {asked} were served");
    drop(link);
    site.stop(nodes).await;
}

/// A node without the store and without peers hears of new weights from engines only.
#[tokio::test]
async fn cut_off_node_refuses_once_all_engines_have_new_weights() {
    let site = Site::start(4, 0).await;
    let link = Link::start(site.store.address()).await.expect("a free port");
    let node = site.start_node("n1", link.address, Vec::new()).await;
    site.wait("the node is ready", async || site.is_ready(&node).await).await;
    assert_eq!(site.ask(&node, &Call::new("check", "before")).await.status, StatusCode::OK);
    link.set(LinkState::Silent);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.engines.iter().for_each(|engine| engine.load(2));

    // The first ones show that the engines have other weights.
    for n in 0..3 {
        site.ask(&node, &Call::new("check", &format!("first{n}"))).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut served = 0;
    for n in 0..20 {
        let answer = site.ask(&node, &Call::new("check", &format!("r{n}"))).await;
        served += usize::from(answer.status == StatusCode::OK);
    }
    assert!(served >= 18, "{served} of 20 were served");
    drop(link);
    site.stop(vec![node]).await;
}
