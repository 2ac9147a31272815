//! Replay of a restart of all nodes under load.

mod support;

use support::batching::GROWN_SITE_SHEET;
use support::replay::Burst;
use support::replay::Caller;
use support::replay::Day;
use support::replay::Setup;
use support::replay::Simulation;
use support::replay::Sizes;
use support::replay::Variant;

const RESTART_MS: u64 = 8_000;

/// Callers retry after the restart.
const RETRIES: Burst = Burst { begin_ms: RESTART_MS, end_ms: RESTART_MS + 1_500, factor: 2.0 };

const DAY: Day = Day {
    sheet: GROWN_SITE_SHEET,
    engines: 16,
    time_factors: &[1.0],
    domains: 3,
    documents: 60,
    document_tokens: Sizes { mean: 13_300.0, sigma: 0.63, limit: 39_900.0 },
    long_per_s: 25.0,
    short_per_s: 290.0,
    long_burst: RETRIES,
    short_burst: RETRIES,
    long_target_ms: 2_000,
    dark_engines: 0,
    dark_ms: 0,
    dark_removed_ms: 0,
    new_version_ms: None,
    restart_ms: Some(RESTART_MS),
    run_ms: 12_000,
    variant: Variant::NONE,
};

const SHORT_TARGET_MS: u64 = 500;
const SEEDS: std::ops::Range<u64> = 0..4;

/// How long the engines, idle after the restart, take to fill up.
const FILL_MS: u64 = 500;

/// Returns the share of short prompts served in time once the engines are full again.
fn short_in_time(restart_ms: Option<u64>) -> f64 {
    let play = |seed| {
        let day = Day { restart_ms, ..DAY };
        let setup =
            Setup { day, nodes: 12, is_coordinated: true, faults: Vec::new(), loss: 0.0, seed };
        Simulation::new(setup).run()
    };
    let days: Vec<Simulation> = SEEDS.map(play).collect();
    let is_counted = |caller: &&Caller| {
        !caller.is_long && (RETRIES.begin_ms + FILL_MS..RETRIES.end_ms).contains(&caller.arrived_ms)
    };
    let is_in_time = |caller: &&&Caller| {
        caller.first_event_ms.is_some_and(|at_ms| at_ms <= caller.arrived_ms + SHORT_TARGET_MS)
    };
    let short: Vec<&Caller> = days.iter().flat_map(|d| &d.callers).filter(is_counted).collect();
    short.iter().filter(is_in_time).count() as f64 / short.len() as f64
}

#[test]
fn restarted_nodes_reserve_too_few_engines_for_short_prompts() {
    let (restarted, others) = (short_in_time(Some(RESTART_MS)), short_in_time(None));
    assert!(
        restarted >= 0.95 * others,
        "{restarted:.3} in time after a restart, {others:.3} without one"
    );
}
