//! Seven daemons as processes, with peers: a change, a leaving upstream, and a platform that is cut
//! off while daemons restart.

use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use redwingrill_fakes::Faults;
use redwingrill_lab::bench::control::ControlFleet;
use redwingrill_lab::bench::control::ControlOptions;
use redwingrill_lab::bench::control::accept;
use redwingrill_lab::platform::ListedInstance;
use redwingrill_lab::platform::ListedState;

const NODES: usize = 7;
const ENGINES: usize = 18;

/// The time for a change to be in force at all nodes.
const IN_FORCE: Duration = Duration::from_secs(9);

/// The time for a listed leaving upstream to be known at all nodes, after the list shows it.
const LEAVING: Duration = Duration::from_secs(3);

/// How late the list of the stand-in tells of a change.
const LIST_LAG: Duration = Duration::from_secs(1);

/// How long the platform is away.
const OUTAGE: Duration = Duration::from_secs(6);

/// The calls at the store of a fleet of this size in any ten seconds, restarts included.
const CALLS_LIMIT: u64 = 400;

const LIMIT: Duration = Duration::from_secs(20);

fn options() -> ControlOptions {
    ControlOptions {
        nodes: vec![NODES],
        engines: ENGINES,
        accounts: 8,
        domains: 3,
        window_s: 1,
        changes: 1,
        restarts: true,
    }
}

async fn fleet(options: &ControlOptions) -> ControlFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_redwingrill-lab"));
    let mut fleet = ControlFleet::prepare(options, program).await.expect("stand-ins start");
    let first = accept(options, &fleet.platform, fleet.loads.port(), 1).await.expect("accepted");
    fleet.routers = fleet.start(&[0, 1, 2, 3, 4, 5, 6]).await.expect("daemons start");
    fleet.in_force(first.0, LIMIT).await.expect("in force");
    fleet.formed(LIMIT).await.expect("all know all");
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_and_a_leaving_upstream_reach_all_nodes_in_time() {
    let options = options();
    let fleet = fleet(&options).await;
    let port = fleet.loads.port();
    let second = accept(&options, &fleet.platform, port, 2).await.expect("accepted");
    let in_force_ms = fleet.in_force(second.0, IN_FORCE).await.expect("in force in time");

    fleet.platform.instances.set(vec![ListedInstance {
        name: "engine-0".to_owned(),
        address: "127.1.0.1:1".parse().unwrap(),
        failure_domain: "domain-0".to_owned(),
        state: ListedState::Leaving,
    }]);
    let listed = Instant::now();
    while !fleet.read_all("/dump").await.iter().all(is_first_engine_leaving) {
        assert!(listed.elapsed() < LIST_LAG + LEAVING, "not all nodes know in time");
        sleep(Duration::from_millis(50)).await;
    }
    let leaving_ms = listed.elapsed().as_millis();
    println!("nodes={NODES} in_force_ms={in_force_ms} leaving_ms={leaving_ms}");
    fleet.stop().await;
}

fn is_first_engine_leaving(dump: &Option<Value>) -> bool {
    let engines = dump.as_ref().and_then(|dump| dump["dispatch"]["engines"].as_array());
    engines.is_some_and(|engines| {
        engines.iter().any(|engine| engine["name"] == "engine-0" && engine["leaving"] == true)
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_restart_while_the_platform_is_away_take_the_configuration_from_peers() {
    let options = options();
    let mut fleet = fleet(&options).await;
    let second = accept(&options, &fleet.platform, fleet.loads.port(), 2).await.expect("accepted");
    fleet.in_force(second.0, IN_FORCE).await.expect("in force in time");

    for faults in
        [Faults { down: true, ..Faults::default() }, Faults { frozen: true, ..Faults::default() }]
    {
        fleet.platform.store.set_faults(faults);
        fleet.platform.instances.set_down(true);
        let away = Instant::now();
        fleet.restart(&[0, 3, 5]).await.expect("daemons start");
        let in_force_ms = fleet.in_force(second.0, IN_FORCE).await.expect("from peers, in time");
        sleep(OUTAGE.saturating_sub(away.elapsed())).await;
        let ready = fleet.read_all("/ready").await;
        assert!(ready.iter().flatten().all(|reply| reply["ready"] == true), "{ready:?}");
        println!("nodes={NODES} restarted=3 platform={faults:?} in_force_ms={in_force_ms}");
        fleet.platform.store.set_faults(Faults::default());
        fleet.platform.instances.set_down(false);
        fleet.formed(LIMIT).await.expect("all know all");
    }
    let calls = fleet.platform.store.counts().total();
    fleet.restart(&[0, 1, 2, 3, 4, 5, 6]).await.expect("daemons start");
    fleet.in_force(second.0, IN_FORCE).await.expect("in force in time");
    fleet.formed(LIMIT).await.expect("all know all");
    let calls = fleet.platform.store.counts().total() - calls;
    println!("nodes={NODES} restarted={NODES} store_calls={calls}");
    assert!(calls <= CALLS_LIMIT, "{calls} calls");
    fleet.stop().await;
}
