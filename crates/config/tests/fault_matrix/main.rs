//! The fault matrix of configurations: every fault at every step, and pairs of them.
//!
//! Each schedule runs five followers over one store in paused time. At every tick: generations go
//! down at no node; every live connected node has the accepted configuration in force within nine
//! seconds; a refused one never appears; each node keeps its budget of calls. At the end all nodes
//! and the store have the configuration that was accepted last.

#[path = "../support/mod.rs"]
mod support;

mod faulty;
mod fleet;
mod herd;
mod schedule;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::faulty::STEPS;
use crate::faulty::Step;
use crate::schedule::FAULTS;
use crate::schedule::Fault;
use crate::schedule::NODES;
use crate::schedule::Schedule;
use crate::schedule::Strike;
use crate::schedule::Tally;
use crate::schedule::run;

const SEEDS_FOR_EACH_SINGLE: u64 = 3;
const PAIRS: u64 = 800;

/// Longer than an operator's command tries.
const LONGEST_FAULT_MS: u64 = 40_000;

fn strike(rng: &mut SmallRng, fault: Fault, step: Step) -> Strike {
    let lasts_ms = rng.random_range(100..LONGEST_FAULT_MS);
    Strike { fault, step, lasts_ms, node: rng.random_range(0..NODES) }
}

fn run_all(name: &str, schedules: &[Schedule]) {
    let mut total = Tally::default();
    for schedule in schedules {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime starts");
        let tally = runtime.block_on(run(schedule));
        total.struck += tally.struck;
        total.accepted += tally.accepted;
        total.refused += tally.refused;
        total.unknown += tally.unknown;
        total.destroyed += tally.destroyed;
        total.calls_per_s = total.calls_per_s.max(tally.calls_per_s);
    }
    println!("{name}: schedules={} {total:?}", schedules.len());
    assert!(total.struck * 2 > schedules.len(), "most faults struck");
}

#[test]
fn every_fault_at_every_step() {
    let mut schedules = Vec::new();
    for &fault in FAULTS {
        for &step in STEPS {
            for _ in 0..SEEDS_FOR_EACH_SINGLE {
                let seed = schedules.len() as u64;
                let mut rng = SmallRng::seed_from_u64(seed);
                schedules.push(Schedule { seed, strikes: vec![strike(&mut rng, fault, step)] });
            }
        }
    }
    run_all("singles", &schedules);
}

#[test]
fn pairs_of_faults() {
    let schedules: Vec<Schedule> = (0..PAIRS)
        .map(|at| {
            let seed = 10_000 + at;
            let mut rng = SmallRng::seed_from_u64(seed);
            let strikes = (0..2).map(|_| {
                let fault = FAULTS[rng.random_range(0..FAULTS.len())];
                let step = STEPS[rng.random_range(0..STEPS.len())];
                strike(&mut rng, fault, step)
            });
            let strikes = strikes.collect();
            Schedule { seed, strikes }
        })
        .collect();
    run_all("pairs", &schedules);
}
