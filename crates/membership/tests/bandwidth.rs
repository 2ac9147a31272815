//! Gossip bandwidth and convergence time, measured on encoded frames, up to the target fleet size.

mod common;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::common::Fleet;
use redwingrill_membership::AccountKey;
use redwingrill_membership::EngineLevel;
use redwingrill_membership::EngineStart;
use redwingrill_membership::HeavyHitter;
use redwingrill_membership::HeavyHitters;
use redwingrill_membership::HotPrefix;
use redwingrill_membership::HotPrefixes;
use redwingrill_membership::InForce;
use redwingrill_membership::UpstreamKey;

/// Bandwidth limit per node, sent and received combined.
const NODE_LIMIT_BYTES_PER_S: u64 = 6_000;

/// Time limit for a configuration to be in force on all nodes.
const IN_FORCE_LIMIT_MS: u64 = 9_000;

/// The longest tick interval that the state machine allows; keeps the test short.
const STEP_MS: u64 = 200;

/// Byte limit per node while all nodes start together: a few copies of the full state.
const STARTUP_LIMIT_BYTES: u64 = 1_500_000;

const WARM_UP_MS: u64 = 20_000;
const MEASURED_MS: u64 = 30_000;

struct Case {
    nodes: usize,
    engines: usize,
    domains: usize,
    /// Whether every load changes by more than the quantisation tolerance between polls.
    loads_change: bool,
}

#[test]
fn bandwidth_and_convergence_time_stay_within_limits() {
    let cases = [
        Case { nodes: 7, engines: 18, domains: 3, loads_change: true },
        Case { nodes: 80, engines: 850, domains: 6, loads_change: true },
        Case { nodes: 320, engines: 850, domains: 6, loads_change: true },
    ];
    for case in cases {
        measure(&case);
    }
}

fn measure(case: &Case) {
    let mut fleet = Fleet::new(case.nodes, case.domains, 7);
    fleet.step_ms = STEP_MS;
    fleet.start_all();
    for n in 0..case.nodes {
        let engines = (0..case.engines).map(|e| {
            let domain = format!("domain-{}", e % case.domains);
            (UpstreamKey::of(&format!("engine-{e}")), domain)
        });
        fleet.cluster(n).set_engines(engines);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    run(&mut fleet, case, &mut rng, WARM_UP_MS);
    let total_bytes =
        |fleet: &Fleet| fleet.nodes.iter().map(|n| n.sent_bytes + n.received_bytes).sum::<u64>();
    let startup_bytes = total_bytes(&fleet) / case.nodes as u64;
    for node in &mut fleet.nodes {
        (node.sent_bytes, node.received_bytes) = (0, 0);
    }
    fleet.exchanges = 0;
    run(&mut fleet, case, &mut rng, MEASURED_MS);

    let seconds = MEASURED_MS / 1_000;
    let sums = fleet.nodes.iter().map(|node| (node.sent_bytes + node.received_bytes) / seconds);
    let (mean, max) = (sums.clone().sum::<u64>() / case.nodes as u64, sums.max().unwrap());
    let now_ms = fleet.now_ms;
    let known_engines = fleet.running().map(|c| c.engine_loads(now_ms).len()).min().unwrap();
    let exchanges = fleet.exchanges;

    let in_force = InForce { generation: 5, manifest: [1; 8] };
    fleet.cluster(0).publish_in_force(now_ms, in_force);
    let converged_ms = fleet.run_until(IN_FORCE_LIMIT_MS, |fleet| {
        fleet.running().all(|cluster| cluster.newest_in_force().generation == 5)
    });
    println!(
        "nodes={} engines={} loads_change={} bytes_per_s_mean={mean} bytes_per_s_max={max} \
         exchanges_per_s_node={:.2} engines_known_min={known_engines} startup_bytes_node={startup_bytes} converged_ms={converged_ms:?}",
        case.nodes,
        case.engines,
        case.loads_change,
        exchanges as f64 / seconds as f64 / case.nodes as f64,
    );
    assert!(startup_bytes <= STARTUP_LIMIT_BYTES, "bytes per node while all nodes start");
    assert!(mean <= NODE_LIMIT_BYTES_PER_S / 2, "mean bandwidth target");
    assert!(max <= NODE_LIMIT_BYTES_PER_S, "bandwidth limit of the busiest node");
    assert_eq!(known_engines, case.engines, "engines with a known load");
    assert!(converged_ms.is_some_and(|converged_ms| converged_ms <= IN_FORCE_LIMIT_MS / 2));
}

/// Runs with loads, heavy hitters and hot prefixes that change every second.
fn run(fleet: &mut Fleet, case: &Case, rng: &mut SmallRng, duration_ms: u64) {
    for _ in 0..duration_ms / 1_000 {
        for n in 0..case.nodes {
            let cluster = fleet.cluster(n);
            let watched: Vec<UpstreamKey> = cluster.watched_engines().collect();
            for engine in watched {
                let running = if case.loads_change { rng.random_range(0..400) } else { 316 };
                let level = EngineLevel::new(running, running / 8, running * 50);
                let start = EngineStart { incarnation: u64::MAX / 3, weights: u64::MAX / 5 };
                cluster.record_load(engine, start, level);
            }
            let hitters = (0..4).map(|a| HeavyHitter {
                account: AccountKey::of(&format!("account-{a}")),
                rate_level: rng.random_range(60..120),
            });
            cluster.set_heavy_hitters(&HeavyHitters { accounts: hitters.collect() });
            let prefixes =
                (0..4).map(|p| HotPrefix { prefix: p << 20, rate_level: rng.random_range(9..40) });
            cluster.set_hot_prefixes(&HotPrefixes { prefixes: prefixes.collect() });
        }
        fleet.run(1_000);
    }
}
