//! Replay of a fleet at its capacity: a burst of long prompts while some engines are dark, and new
//! weights whose roll-out empties the caches.
//!
//! Nodes that choose engines by themselves see the same free engine at the same moment and fill it
//! together, although they hear of each other within 200 ms. The reference is one scheduler that
//! receives all requests and therefore knows everything. Engines follow the data sheet of a large
//! deployment; a short prompt holds one of its 12 slots for 0.4 s.

mod support;

use support::batching::EngineSheet;
use support::replay::Burst;
use support::replay::Day;
use support::replay::Fault;
use support::replay::FaultKind;
use support::replay::Setup;
use support::replay::Simulation;
use support::replay::Sizes;
use support::replay::Variant;

const SHEET: EngineSheet = EngineSheet {
    slots: 12,
    queue_limit: 36,
    memory_tokens: 158_796,
    step_ms: 6.45,
    step_ms_per_slot: 0.0967,
    prefill_tokens_per_ms: 56.1,
    chunk_tokens: 4_096,
    setup_ms: 75.0,
    fetch_ms_per_1k_tokens: 1.5,
    load_weights_ms: 2_500.0,
    tokens_per_event: 4,
};

const DAY: Day = Day {
    sheet: SHEET,
    engines: 10,
    time_factors: &[1.0],
    domains: 5,
    documents: 42,
    document_tokens: Sizes { mean: 13_300.0, sigma: 0.0, limit: 13_300.0 },
    long_per_s: 18.9,
    short_per_s: 106.0,
    long_burst: Burst { begin_ms: 2_000, end_ms: 8_900, factor: 2.6 },
    short_burst: Burst { begin_ms: 13_000, end_ms: 16_100, factor: 1.7 },
    long_target_ms: 1_500,
    dark_engines: 3,
    dark_ms: 2_500,
    dark_removed_ms: 4_500,
    new_version_ms: Some(3_000),
    restart_ms: None,
    run_ms: 26_000,
    variant: Variant::NONE,
};

const PERFECT: Setup =
    Setup { day: DAY, nodes: 1, is_coordinated: false, faults: Vec::new(), loss: 0.0, seed: 0 };
const COORDINATED: Setup =
    Setup { day: DAY, nodes: 20, is_coordinated: true, faults: Vec::new(), loss: 0.0, seed: 0 };

/// Returns the mean share that is served on days with unlike arrivals.
fn mean_served(setup: &Setup) -> f64 {
    const SEEDS: u64 = 3;
    let days = (0..SEEDS).map(|seed| Simulation::new(Setup { seed, ..setup.clone() }));
    days.map(|day| day.run().served()).sum::<f64>() / SEEDS as f64
}

#[test]
fn nodes_that_see_the_same_free_engine_fill_it_together() {
    let (served, perfect) = (mean_served(&COORDINATED), mean_served(&PERFECT));
    assert!(served > 0.9 * perfect, "{served:.3} served; {perfect:.3} with perfect knowledge");
    // Each preemption loses what an engine has prefilled.
    let coordinated = Simulation::new(COORDINATED).run();
    let (preempted, rejected) = (coordinated.preempted(), coordinated.counts.rejected);
    let sent = coordinated.next_run;
    assert!(preempted * 100 < sent, "{preempted} of {sent} requests were preempted");
    assert!(rejected * 100 < sent, "{rejected} of {sent} requests were rejected by engines");
}

struct FaultCase {
    name: &'static str,
    faults: Vec<Fault>,
    loss: f64,
}

/// Lets each node fail for a while, one after the other: any of them may be the coordinator.
fn one_by_one(kind: FaultKind) -> Vec<Fault> {
    let faults = (0..COORDINATED.nodes).map(|node| {
        let begin_ms = 2_000 + 1_000 * node as u64;
        Fault { node, kind, begin_ms, end_ms: begin_ms + 1_500 }
    });
    faults.collect()
}

fn assert_faults_cost_little(cases: Vec<FaultCase>) {
    let without = mean_served(&COORDINATED);
    for FaultCase { name, faults, loss } in cases {
        let served = mean_served(&Setup { faults, loss, ..COORDINATED });
        // A tenth of the nodes is affected at any time: for their own callers, and for the others.
        assert!(served > 0.8 * without, "{name}: {served:.3} served; {without:.3} without faults");
    }
}

#[test]
fn failed_coordinators_cost_much_at_capacity() {
    let cut = |node| Fault { node, kind: FaultKind::Cut, begin_ms: 9_000, end_ms: 11_000 };
    let all_cut = (0..COORDINATED.nodes).map(cut).collect();
    assert_faults_cost_little(vec![
        FaultCase { name: "each frozen", faults: one_by_one(FaultKind::Frozen), loss: 0.0 },
        FaultCase { name: "all cut off", faults: all_cut, loss: 0.0 },
        FaultCase { name: "datagrams are lost", faults: Vec::new(), loss: 0.05 },
    ]);
}

#[test]
fn nodes_that_are_cut_off_overfill_engines() {
    let faults = one_by_one(FaultKind::Cut);
    assert_faults_cost_little(vec![FaultCase { name: "each cut off", faults, loss: 0.0 }]);
}

#[test]
fn one_node_serves_as_much_with_a_coordinator_as_without() {
    let perfect = mean_served(&PERFECT);
    let served = mean_served(&Setup { nodes: 1, ..COORDINATED });
    assert!(served > 0.95 * perfect, "{served:.3} served; {perfect:.3} without a coordinator");
}
