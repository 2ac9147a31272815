//! Requests with one part in their prompts that crash each engine.

use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::site::Answer;
use crate::site::Call;
use crate::site::IN_FORCE;
use crate::site::Site;
use crate::site::SiteNode;
use redwingrill_lab::metadata_store::StoreFault;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::ScopeTag;

const CRASH_PART: &str = "bad0bad0";
const SHARED_PART: &str = "5c1e07a2:800";

/// After the fifth crash, the time within which all nodes must refuse the part.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

fn sound(n: u64) -> Call {
    let parts = Some(format!("{SHARED_PART},{:x}:250", 0x1_0000 + n));
    Call { parts, ..Call::new("check", &format!("sound-{n}")) }
}

fn crashing(n: u64) -> Call {
    let parts = Some(format!("{SHARED_PART},{CRASH_PART}:400,{:x}:250", 0x2_0000 + n));
    Call { parts, ..Call::new("check", &format!("crashing-{n}")) }
}

fn is_quarantined(answer: &Answer) -> bool {
    let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
    is_refused && answer.body.as_deref().is_some_and(|body| body.contains("quarantined"))
}

fn crash_count(site: &Site) -> usize {
    site.engines.iter().map(|engine| engine.crashes()).sum()
}

/// The requests with the part that reached an engine.
fn crashing_sends(site: &Site) -> usize {
    let seen = site.engines.iter().flat_map(|engine| engine.seen());
    seen.filter(|seen| seen.header("x-request-id").is_some_and(|id| id.starts_with("crashing")))
        .count()
}

async fn ask(site: &Site, node: &SiteNode, call: &Call) -> Option<Answer> {
    Site::ask_at(&site.pool, node.callers, call).await
}

/// Sends requests with the part and sound ones to the nodes by turns for a time.
async fn load(site: &Site, nodes: &[SiteNode], first: u64, lasts: Duration) -> Vec<Answer> {
    let ends = Instant::now() + lasts;
    let callers = nodes.iter().enumerate().map(|(index, node)| async move {
        let mut sound_answers = Vec::new();
        let mut n = first + index as u64 * 1_000;
        while Instant::now() < ends {
            let (crashing, sound) = (crashing(n), sound(n));
            let answers = tokio::join!(ask(site, node, &crashing), async {
                sleep(Duration::from_millis(20)).await;
                ask(site, node, &sound).await
            });
            sound_answers.extend(answers.1);
            sleep(Duration::from_millis(400)).await;
            n += 1;
        }
        sound_answers
    });
    futures::future::join_all(callers).await.into_iter().flatten().collect()
}

#[tokio::test]
async fn part_that_crashes_engines_is_sent_again_and_again() {
    let site = Site::start(8, 0).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push(site.node(name).await);
    }
    site.engines.iter().for_each(|engine| engine.crash_on(CRASH_PART));
    for (n, node) in nodes.iter().enumerate() {
        assert_eq!(site.ask(node, &sound(n as u64)).await.status, StatusCode::OK);
    }

    let started = Instant::now();
    while crash_count(&site) < 5 && started.elapsed() < Duration::from_secs(6) {
        load(&site, &nodes, 100_000 + crash_count(&site) as u64, Duration::from_millis(500)).await;
    }
    load(&site, &nodes, 200_000, KNOWN_AFTER).await;
    let sends_before = crashing_sends(&site);
    sleep(IN_FORCE).await;
    let answers = load(&site, &nodes, 300_000, Duration::from_secs(3)).await;
    let sends = crashing_sends(&site) - sends_before;
    assert!(sends <= 3, "{sends} requests with the part reached engines");
    let served = answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    assert_eq!(served, answers.len(), "sound requests are served");

    let refused = site.ask(&nodes[0], &crashing(900_000)).await;
    assert!(is_quarantined(&refused));
    assert!(refused.headers.contains_key("retry-after"));

    // A node that starts later knows the part from the store.
    let late = site.node("n4").await;
    let sends_before = crashing_sends(&site);
    assert!(is_quarantined(&site.ask(&late, &crashing(900_001)).await));
    assert_eq!(crashing_sends(&site), sends_before);
    assert_eq!(site.ask(&late, &sound(900_002)).await.status, StatusCode::OK);
    nodes.push(late);
    site.stop(nodes).await;
}

/// The store is away when the part is found, and all nodes are replaced after its return.
#[tokio::test]
async fn quarantine_is_lost_with_the_nodes_or_the_store() {
    let site = Site::start(10, 0).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push(site.node(name).await);
    }
    site.engines.iter().for_each(|engine| engine.crash_on(CRASH_PART));
    assert_eq!(site.ask(&nodes[0], &sound(0)).await.status, StatusCode::OK);
    let key = format!("redwingrill/quarantine/{}", crash_key());
    site.store.state.set_fault(StoreFault::Busy);
    let mut sent = 0;
    while !is_quarantined(&site.ask(&nodes[sent % 3], &crashing(sent as u64)).await) {
        sent += 1;
        assert!(sent < 20, "the part is not quarantined");
        sleep(Duration::from_millis(250)).await;
    }
    // The other nodes know it by the next digests.
    sleep(Duration::from_millis(500)).await;
    let sends = crashing_sends(&site);
    for (n, node) in nodes.iter().enumerate() {
        assert!(is_quarantined(&site.ask(node, &crashing(100 + n as u64)).await));
    }
    assert_eq!(crashing_sends(&site), sends);
    assert_eq!(site.store.state.get(&key), None);

    site.store.state.set_fault(StoreFault::None);
    let ends = Instant::now() + 3 * IN_FORCE;
    while site.store.state.get(&key).is_none() {
        assert!(Instant::now() < ends, "the record is not written");
        sleep(Duration::from_millis(50)).await;
    }
    for node in nodes.drain(..) {
        node.node.drain().await.finish().await;
    }
    let replaced = site.node("n4").await;
    assert!(is_quarantined(&site.ask(&replaced, &crashing(200)).await));
    assert_eq!(crashing_sends(&site), sends);
    site.wait("sound requests are served", async || {
        site.ask(&replaced, &sound(1)).await.status == StatusCode::OK
    })
    .await;

    // The end of the record lets the part be tried again.
    site.store.state.remove(&key);
    site.wait("the part is tried again", async || {
        site.ask(&replaced, &crashing(300)).await.status == StatusCode::BAD_GATEWAY
    })
    .await;
    site.stop(vec![replaced]).await;
}

/// Leases may run out while the store is away; the record is not gone by anyone's will.
#[tokio::test]
async fn quarantine_whose_record_lapses_with_the_store_is_lifted() {
    let site = Site::start(8, 0).await;
    let node = site.node("n1").await;
    site.engines.iter().for_each(|engine| engine.crash_on(CRASH_PART));
    let key = format!("redwingrill/quarantine/{}", crash_key());
    site.store.state.put(&key, "{}");
    site.wait("the part is quarantined", async || {
        is_quarantined(&site.ask(&node, &crashing(0)).await)
    })
    .await;
    let sends = crashing_sends(&site);
    site.store.state.set_fault(StoreFault::Busy);
    sleep(Duration::from_millis(3_200)).await;
    site.store.state.remove(&key);
    site.store.state.set_fault(StoreFault::None);
    let ends = Instant::now() + 6 * IN_FORCE;
    let mut n = 1;
    while site.store.state.get(&key).is_none() {
        assert!(Instant::now() < ends, "the record is not written again");
        assert!(is_quarantined(&site.ask(&node, &crashing(n)).await));
        sleep(Duration::from_millis(100)).await;
        n += 1;
    }
    sleep(IN_FORCE).await;
    assert!(is_quarantined(&site.ask(&node, &crashing(n)).await));
    assert_eq!(crashing_sends(&site), sends);
    site.stop(vec![node]).await;
}

fn crash_key() -> PartKey {
    let part = u64::from_str_radix(CRASH_PART, 16).expect("a hexadecimal number");
    PartKey { scope: ScopeTag::of("llm", "m"), part }
}
