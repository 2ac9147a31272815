//! Convergence after a matrix of faults and after random fault schedules, in simulated time.

mod common;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::common::Fleet;
use crate::common::key_of;
use redwingrill_membership::Cluster;
use redwingrill_membership::InForce;
use redwingrill_membership::MemberState;

const NODES: usize = 7;
const DOMAINS: usize = 3;
const SCHEDULES: u64 = 1_000;

/// Time limit for the fleet to converge after the last fault.
const CONVERGENCE_LIMIT_MS: u64 = 90_000;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillAndRestart,
    Pause,
    PartitionNode,
    PartitionDomain,
    Duplicates,
    Delays,
    RestartAll,
    Leave,
}

const FAULTS: [Fault; 9] = [
    Fault::Kill,
    Fault::KillAndRestart,
    Fault::Pause,
    Fault::PartitionNode,
    Fault::PartitionDomain,
    Fault::Duplicates,
    Fault::Delays,
    Fault::RestartAll,
    Fault::Leave,
];

/// The phase of the fleet in which the fault is injected.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    Joined,
    ConfigChange,
}

const STEPS: [Step; 3] = [Step::Start, Step::Joined, Step::ConfigChange];

#[test]
fn fleet_converges_after_each_fault_and_pair_of_faults() {
    let mut runs = 0;
    for step in STEPS {
        for first in FAULTS {
            run_case(step, &[first]);
            for second in FAULTS {
                run_case(step, &[first, second]);
                runs += 1;
            }
            runs += 1;
        }
    }
    println!("faults={} steps={} runs={runs}", FAULTS.len(), STEPS.len());
}

fn run_case(step: Step, faults: &[Fault]) {
    let mut fleet = Fleet::new(NODES, DOMAINS, 3);
    fleet.start_all();
    if !matches!(step, Step::Start) {
        fleet.run(5_000);
    }
    if matches!(step, Step::ConfigChange) {
        publish_generation(&mut fleet, 0, 1);
    }
    for (number, &fault) in faults.iter().enumerate() {
        inject(&mut fleet, fault, 1 + number * 2);
        fleet.run(8_000);
    }
    assert_converges(&mut fleet, &format!("{step:?} {faults:?}"));
}

#[test]
fn fleet_converges_after_random_fault_schedules() {
    for seed in 0..SCHEDULES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(NODES, DOMAINS, seed);
        fleet.start_all();
        let mut generation = 0;
        for _ in 0..rng.random_range(2..6) {
            let n = rng.random_range(0..NODES);
            if rng.random_ratio(1, 3) && fleet.nodes[n].cluster.is_some() {
                generation += 1;
                publish_generation(&mut fleet, n, generation);
            }
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            inject(&mut fleet, fault, rng.random_range(0..NODES));
            run_verified(&mut fleet, rng.random_range(100..6_000), seed);
        }
        assert_converges(&mut fleet, &format!("seed={seed}"));
    }
    println!("schedules={SCHEDULES}");
}

fn publish_generation(fleet: &mut Fleet, n: usize, generation: u64) {
    let now_ms = fleet.now_ms;
    let in_force = InForce { generation, manifest: [generation as u8; 8] };
    fleet.cluster(n).publish_in_force(now_ms, in_force);
}

fn inject(fleet: &mut Fleet, fault: Fault, n: usize) {
    let now_ms = fleet.now_ms;
    match fault {
        Fault::Kill => fleet.kill(n),
        Fault::KillAndRestart => fleet.start(n),
        Fault::Pause => fleet.nodes[n].is_paused = true,
        Fault::PartitionNode => fleet.nodes[n].partition = 1,
        Fault::PartitionDomain => {
            let partitioned = fleet.nodes.iter_mut().skip(n % DOMAINS).step_by(DOMAINS);
            partitioned.for_each(|node| node.partition = 2);
        }
        Fault::Duplicates => fleet.duplicate_permille = 200,
        Fault::Delays => fleet.delay_permille = 200,
        Fault::RestartAll => fleet.start_all(),
        Fault::Leave => {
            if let Some(cluster) = &mut fleet.nodes[n].cluster {
                cluster.leave(now_ms);
            }
        }
    }
}

/// Runs and checks the invariants after each step. The generation of a running node never
/// decreases.
fn run_verified(fleet: &mut Fleet, duration_ms: u64, seed: u64) {
    let mut newest: Vec<u64> = generations(fleet);
    for _ in 0..duration_ms / common::STEP_MS {
        fleet.step();
        let now = generations(fleet);
        assert!(newest.iter().zip(&now).all(|(before, after)| before <= after), "seed={seed}");
        newest = now;
        for cluster in fleet.running() {
            cluster.verify().unwrap_or_else(|violation| panic!("seed={seed}: {violation}"));
        }
    }
}

fn generations(fleet: &Fleet) -> Vec<u64> {
    let newest = |cluster: &Cluster| cluster.newest_in_force().generation;
    fleet.nodes.iter().map(|node| node.cluster.as_ref().map_or(0, newest)).collect()
}

/// Ends all faults except killed nodes, and asserts that the running nodes converge.
fn assert_converges(fleet: &mut Fleet, label: &str) {
    for node in &mut fleet.nodes {
        node.partition = 0;
        node.is_paused = false;
    }
    (fleet.duplicate_permille, fleet.delay_permille) = (0, 0);
    let converged_ms = fleet.run_until(CONVERGENCE_LIMIT_MS, has_converged);
    for cluster in fleet.running() {
        cluster.verify().unwrap_or_else(|violation| panic!("{label}: {violation}"));
    }
    let summaries: Vec<_> = fleet.running().map(|cluster| cluster.summary(fleet.now_ms)).collect();
    assert!(converged_ms.is_some(), "{label}: no convergence: {summaries:#?}");
}

/// Returns whether each running node has the correct state of every running node, has all other
/// nodes as dead or unknown, and knows the newest generation in force at a running node.
fn has_converged(fleet: &Fleet) -> bool {
    let in_force = |cluster: &Cluster| cluster.digest().payload::<InForce>(cluster.key());
    let newest = fleet.running().filter_map(in_force).map(|config| config.generation).max();
    fleet.running().all(|cluster| {
        let is_newest = cluster.newest_in_force().generation >= newest.unwrap_or(0);
        is_newest && (0..NODES).all(|n| has_correct_state(fleet, cluster, n))
    })
}

fn has_correct_state(fleet: &Fleet, cluster: &Cluster, n: usize) -> bool {
    let state = cluster.members().get(key_of(n)).map(|record| record.state);
    match &fleet.nodes[n].cluster {
        Some(running) => state == Some(running.own_record().state),
        None => matches!(state, None | Some(MemberState::Dead)),
    }
}
