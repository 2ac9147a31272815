//! The fault matrix of configurations: every fault at every step, and random pairs of faults.
//!
//! Each schedule runs five followers with one store in paused time. At every tick it checks that no
//! node's generation decreases, that every live connected node has the accepted configuration in
//! force within nine seconds, and that a refused configuration is never in force. At the end, all
//! nodes and the store have the configuration that was accepted last, and no node exceeded its call
//! budget.

#[path = "../support/mod.rs"]
mod support;

mod faulty_store;
mod fleet;
mod schedule;
mod store_load;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::faulty_store::STEPS;
use crate::faulty_store::Step;
use crate::schedule::FAULTS;
use crate::schedule::Fault;
use crate::schedule::Injection;
use crate::schedule::NODES;
use crate::schedule::Schedule;
use crate::schedule::Summary;
use crate::schedule::run;

const SEEDS_PER_SINGLE_FAULT: u64 = 3;
const FAULT_PAIRS: u64 = 800;

/// Longer than the retries of an operator's command last.
const FAULT_DURATION_LIMIT_MS: u64 = 40_000;

fn random_injection(rng: &mut SmallRng, fault: Fault, step: Step) -> Injection {
    let duration_ms = rng.random_range(100..FAULT_DURATION_LIMIT_MS);
    Injection { fault, step, duration_ms, node: rng.random_range(0..NODES) }
}

fn run_all(name: &str, schedules: &[Schedule]) {
    let mut total = Summary::default();
    for schedule in schedules {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("the runtime builds");
        let summary = runtime.block_on(run(schedule));
        total.injected += summary.injected;
        total.accepted += summary.accepted;
        total.refused += summary.refused;
        total.unknown += summary.unknown;
        total.overwritten += summary.overwritten;
        total.calls_per_s = total.calls_per_s.max(summary.calls_per_s);
    }
    println!("{name}: schedules={} {total:?}", schedules.len());
    assert!(total.injected * 2 > schedules.len(), "too few faults were injected");
}

#[test]
fn each_fault_at_each_step() {
    let mut schedules = Vec::new();
    for &fault in FAULTS {
        for &step in STEPS {
            for _ in 0..SEEDS_PER_SINGLE_FAULT {
                let seed = schedules.len() as u64;
                let mut rng = SmallRng::seed_from_u64(seed);
                schedules.push(Schedule {
                    seed,
                    injections: vec![random_injection(&mut rng, fault, step)],
                });
            }
        }
    }
    run_all("singles", &schedules);
}

#[test]
fn random_pairs_of_faults() {
    let schedules: Vec<Schedule> = (0..FAULT_PAIRS)
        .map(|index| {
            let seed = 10_000 + index;
            let mut rng = SmallRng::seed_from_u64(seed);
            let injections = (0..2).map(|_| {
                let fault = FAULTS[rng.random_range(0..FAULTS.len())];
                let step = STEPS[rng.random_range(0..STEPS.len())];
                random_injection(&mut rng, fault, step)
            });
            let injections = injections.collect();
            Schedule { seed, injections }
        })
        .collect();
    run_all("pairs", &schedules);
}
