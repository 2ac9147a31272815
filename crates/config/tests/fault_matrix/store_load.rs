//! The store calls of a full-size fleet: idle, after a change, and when many nodes restart
//! together.

use std::time::Duration;

use tokio::time::Instant;

use crate::faulty_store::FaultTrigger;
use crate::faulty_store::NodeStore;
use crate::fleet::Fleet;
use crate::support::apply_text;
use crate::support::config_text;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;

const NODES: usize = 320;

/// Fewer than the target of 19,000, so that the test takes seconds; the calls depend on the number
/// of chunks.
const ACCOUNTS: usize = 2_000;

/// The call rate that the platform supports.
const PLATFORM_CALLS_PER_S: u64 = 2_000;

/// An accepted configuration must be in force on all nodes within this time.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

/// The store calls during a period.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    calls: u64,
    peak_calls_per_s: u64,
    seconds: f64,
}

impl Fleet {
    fn total_calls(&self) -> u64 {
        self.nodes.iter().map(|node| node.calls()).sum()
    }

    /// Advances time until `done` and counts the store calls. Panics after `limit`.
    async fn measure(&self, limit: Duration, done: impl Fn(&Self) -> bool) -> Cost {
        const TICK: Duration = Duration::from_millis(100);
        let (started, before) = (Instant::now(), self.total_calls());
        let mut totals = vec![before];
        while !done(self) {
            assert!(started.elapsed() < limit, "not done after {limit:?}");
            tokio::time::sleep(TICK).await;
            totals.push(self.total_calls());
        }
        let seconds = totals.windows(11).map(|window| window[10] - window[0]);
        Cost {
            calls: self.total_calls() - before,
            peak_calls_per_s: seconds.max().unwrap_or(self.total_calls() - before),
            seconds: started.elapsed().as_secs_f64(),
        }
    }

    fn all_have_marker(&self, marker: u64) -> bool {
        self.nodes.iter().all(|node| node.in_force().is_some_and(|(_, found)| found == marker))
    }

    fn restart(&mut self, nodes: usize) {
        (0..nodes).for_each(|index| self.kill_node(index));
        (0..nodes).for_each(|at| self.start_node(at));
    }
}

#[test]
fn store_calls_of_a_full_size_fleet_stay_within_the_platform_limit() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime builds");
    runtime.block_on(measure_fleet());
}

async fn measure_fleet() {
    let store = MemoryStore::new();
    let (trigger, _reached) = FaultTrigger::new();
    let operator = NodeStore::new(store.clone(), trigger.clone());
    apply_text(&operator, &config_text(ACCOUNTS, 1), 1).await.expect("accepted");
    let mut fleet = Fleet::start(store.clone(), trigger, NODES, 7);
    let limit = Duration::from_secs(60);
    let first = fleet.measure(limit, |fleet| fleet.all_have_marker(1)).await;
    let until = Instant::now() + Duration::from_secs(120);
    let quiet = fleet.measure(limit * 3, |_| Instant::now() >= until).await;
    apply_text(&operator, &config_text(ACCOUNTS, 2), 2).await.expect("accepted");
    let change = fleet.measure(IN_FORCE_LIMIT, |fleet| fleet.all_have_marker(2)).await;
    fleet.restart(NODES / 6);
    let domain = fleet.measure(IN_FORCE_LIMIT, |fleet| fleet.all_have_marker(2)).await;
    fleet.restart(NODES);
    let all = fleet.measure(limit, |fleet| fleet.all_have_marker(2)).await;
    store.set_faults(Faults { frozen: true, ..Faults::default() });
    fleet.restart(NODES / 2);
    let frozen = fleet.measure(IN_FORCE_LIMIT, |fleet| fleet.all_have_marker(2)).await;
    for (name, cost) in [
        ("first start", first),
        ("idle", quiet),
        ("change", change),
        ("restart of a domain", domain),
        ("restart of all", all),
        ("restart of half, store frozen", frozen),
    ] {
        println!("{name}: nodes={NODES} accounts={ACCOUNTS} {cost:?}");
        assert!(cost.peak_calls_per_s < PLATFORM_CALLS_PER_S, "{name}: {cost:?}");
        assert!(cost.seconds > 0.0 && cost.calls < PLATFORM_CALLS_PER_S * 10, "{name}: {cost:?}");
    }
}

#[test]
fn restarted_nodes_of_a_small_fleet_load_their_configuration_quickly() {
    const SMALL_FLEET_NODES: usize = 7;
    const RESTART_LIMIT: Duration = Duration::from_millis(300);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime builds");
    runtime.block_on(async {
        let store = MemoryStore::new();
        let (trigger, _reached) = FaultTrigger::new();
        let operator = NodeStore::new(store.clone(), trigger.clone());
        apply_text(&operator, &config_text(8, 1), 1).await.expect("accepted");
        let mut fleet = Fleet::start(store, trigger, SMALL_FLEET_NODES, 3);
        let cold = fleet.measure(RESTART_LIMIT, |fleet| fleet.all_have_marker(1)).await;
        fleet.restart(1);
        let one = fleet.measure(RESTART_LIMIT, |fleet| fleet.all_have_marker(1)).await;
        fleet.restart(SMALL_FLEET_NODES);
        let all = fleet.measure(RESTART_LIMIT, |fleet| fleet.all_have_marker(1)).await;
        let faults = Faults { frozen: true, ..Faults::default() };
        fleet.store.set_faults(faults);
        fleet.restart(1);
        let frozen = fleet.measure(RESTART_LIMIT * 2, |fleet| fleet.all_have_marker(1)).await;
        println!("small fleet: cold={cold:?} one={one:?} all={all:?} one, frozen={frozen:?}");
    });
}
