//! An upstream that is leaving gets no new work from any daemon, and its open work ends normally.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::task::JoinSet;

use crate::support::fleet::Daemon;
use crate::support::fleet::Fleet;
use crate::support::fleet::WAIT;
use crate::support::fleet::stop;
use crate::support::fleet::wait_ready;
use redwingrill_config::ApplyId;
use redwingrill_config::ApplyRequest;
use redwingrill_config::Generation;
use redwingrill_config::apply;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_lab::caller::Caller;
use redwingrill_lab::platform::ListedInstance;
use redwingrill_lab::platform::ListedState;
use redwingrill_lab::site::configuration_text;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const DAEMONS: usize = 3;

/// The time in which all daemons must know, after the list or the engine says it.
const LIMIT: Duration = Duration::from_secs(3);

/// How late the stand-in's list tells.
const LIST_LAG: Duration = Duration::from_secs(1);

/// How long nothing new may come after that.
const WATCHED: Duration = Duration::from_secs(2);

/// Callers that ask all daemons in turn until told to stop, and count what was not whole.
struct Load {
    running: Arc<AtomicBool>,
    tasks: JoinSet<usize>,
}

impl Load {
    fn start(fleet: &Fleet, daemons: &[Daemon]) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let mut tasks = JoinSet::new();
        for place in 0..12 {
            let address = daemons[place % daemons.len()].process.address;
            let key = fleet.site.accounts[place % fleet.site.accounts.len()].api_key.clone();
            let call = fleet.call(&format!("question {place}"), 10);
            let running = running.clone();
            let stock = stock_request(fleet, &key);
            tasks.spawn(async move {
                let (caller, pool) = (Caller::new(), Pool::new());
                let timeouts = Timeouts { connect: WAIT, head: WAIT };
                let mut incomplete = 0;
                while running.load(Ordering::Relaxed) {
                    let outcome = caller.complete(address, &call).await;
                    incomplete += usize::from(!outcome.is_complete());
                    let read = pool.send(address, stock.clone(), Freshness::New, &timeouts).await;
                    incomplete += usize::from(!read.is_ok_and(|reply| reply.status() == 200));
                }
                caller.close().await;
                pool.close().await;
                incomplete
            });
        }
        Self { running, tasks }
    }

    async fn stop(self) -> usize {
        self.running.store(false, Ordering::Relaxed);
        self.tasks.join_all().await.into_iter().sum()
    }
}

fn stock_request(fleet: &Fleet, key: &str) -> Request<Bytes> {
    Request::get(format!("/services/{}/stock", fleet.site.service))
        .header("host", "router")
        .header("authorization", format!("Bearer {key}"))
        .body(Bytes::new())
        .expect("the request is valid")
}

fn listed(fleet: &Fleet, leaving: &str) -> Vec<ListedInstance> {
    let stand_ins = &fleet.stand_ins;
    let engines = stand_ins.engines.iter().map(|engine| (engine.name.clone(), engine.address));
    let services = stand_ins.services.iter().map(|one| (one.name.clone(), one.address));
    let all = engines.chain(services).map(|(name, address)| ListedInstance {
        state: if name == leaving { ListedState::Leaving } else { ListedState::Live },
        name,
        address,
        failure_domain: fleet.site.failure_domains[0].clone(),
    });
    all.collect()
}

/// The operator's drain of one engine, as a change of the configuration.
async fn drain_by_configuration(fleet: &Fleet, engine: &str) {
    let text = configuration_text(&fleet.site, &fleet.stand_ins);
    let header = format!("[upstream {engine}]\n");
    let text = text.replace(&header, &format!("{header}drained = yes\n"));
    let mut names = Names::default();
    let state = parse_str("site.ini", &text, &mut names).expect("the site is valid");
    let request = ApplyRequest {
        state: &state,
        names: &names,
        apply_id: ApplyId(2),
        expected: None,
        in_force: Generation::default(),
    };
    apply(&fleet.stand_ins.platform.store, request).await.expect("the change is accepted");
}

fn requests_at(fleet: &Fleet, engine: usize) -> u64 {
    fleet.stand_ins.engines[engine].totals().requests
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work() {
    let fleet = Fleet::start("leaving", 5_000).await;
    let pool = Pool::new();
    let mut daemons = Vec::new();
    for n in 0..DAEMONS {
        let daemon = fleet.daemon(n).await;
        wait_ready(&pool, daemon.process.admin_address).await;
        daemons.push(daemon);
    }
    pool.close().await;
    let load = Load::start(&fleet, &daemons);
    tokio::time::sleep(LIMIT).await;
    assert!((0..3).all(|engine| requests_at(&fleet, engine) > 0), "all engines get work");

    fleet.stand_ins.engines[0].set_leaving(true);
    check(&fleet, 0, LIMIT, "its own report").await;

    let name = fleet.stand_ins.engines[1].name.clone();
    fleet.stand_ins.platform.instances.set(listed(&fleet, &name));
    check(&fleet, 1, LIMIT + LIST_LAG, "the platform's list").await;

    // The other two must take work again before the third is drained.
    fleet.stand_ins.engines[0].set_leaving(false);
    fleet.stand_ins.platform.instances.set(listed(&fleet, ""));
    tokio::time::sleep(LIMIT + LIST_LAG).await;
    drain_by_configuration(&fleet, &fleet.stand_ins.engines[2].name).await;
    check(&fleet, 2, LIMIT, "the operator's drain").await;
    let incomplete = load.stop().await;
    assert_eq!(incomplete, 0, "answers and reads while upstreams leave");
    stop(fleet, daemons).await;
}

async fn check(fleet: &Fleet, engine: usize, limit: Duration, source: &str) {
    tokio::time::sleep(limit).await;
    let (before, others) = (requests_at(fleet, engine), others_than(fleet, engine));
    tokio::time::sleep(WATCHED).await;
    let late = requests_at(fleet, engine) - before;
    println!("{source}: {late} new requests after {} s", limit.as_secs());
    assert_eq!(late, 0, "by {source}");
    assert!(others_than(fleet, engine) > others, "the others go on");
}

fn others_than(fleet: &Fleet, engine: usize) -> u64 {
    let all = 0..fleet.stand_ins.engines.len();
    all.filter(|&other| other != engine).map(|other| requests_at(fleet, other)).sum()
}
