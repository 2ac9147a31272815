//! Replay of a fleet that is asked for more than it can serve, for many seconds.
//!
//! Prompts have the sizes of a grown deployment: a shared document and an own part, both drawn from
//! lognormal distributions, so that the largest tenth has several times the tokens of the smallest.

mod support;

use std::collections::BTreeMap;

use support::batching::GROWN_SITE_SHEET;
use support::replay::Burst;
use support::replay::Caller;
use support::replay::Day;
use support::replay::Setup;
use support::replay::Simulation;
use support::replay::Sizes;
use support::replay::Variant;

const DAY: Day = Day {
    sheet: GROWN_SITE_SHEET,
    engines: 12,
    time_factors: &[1.0],
    domains: 3,
    documents: 60,
    document_tokens: Sizes { mean: 13_300.0, sigma: 0.63, limit: 39_900.0 },
    long_per_s: 18.0,
    short_per_s: 115.0,
    long_burst: Burst { begin_ms: 6_000, end_ms: 26_000, factor: 1.0 },
    short_burst: Burst { begin_ms: 0, end_ms: 0, factor: 1.0 },
    long_target_ms: 2_000,
    dark_engines: 0,
    dark_ms: 0,
    dark_removed_ms: 0,
    new_version_ms: None,
    restart_ms: None,
    run_ms: 30_000,
    variant: Variant::NONE,
};

/// Long prompts per second, relative to those of [`DAY`], at which the engines are just full.
const CAPACITY: f64 = 2.0;
const OVERLOAD: f64 = 1.5 * CAPACITY;
const SEEDS: std::ops::Range<u64> = 0..8;

fn play(factor: f64, seed: u64) -> Simulation {
    let mut day = DAY.clone();
    day.long_burst.factor = factor;
    let setup = Setup { day, nodes: 12, is_coordinated: true, faults: Vec::new(), loss: 0.0, seed };
    Simulation::new(setup).run()
}

/// Returns whether a long prompt arrived in the overload, so early that its time ended within it.
fn is_counted(caller: &&Caller) -> bool {
    let Burst { begin_ms, end_ms, .. } = DAY.long_burst;
    caller.is_long && (begin_ms..end_ms).contains(&caller.arrived_ms)
}

#[test]
fn large_prompts_pay_for_an_overload() {
    let days: Vec<Simulation> = SEEDS.map(|seed| play(OVERLOAD, seed)).collect();
    let mut long: Vec<&Caller> =
        days.iter().flat_map(|day| &day.callers).filter(is_counted).collect();
    long.sort_by_key(|caller| caller.prompt.prompt_tokens);
    let share = |callers: &[&Caller]| {
        callers.iter().filter(|caller| caller.is_served).count() as f64 / callers.len() as f64
    };
    let all = share(&long);
    assert!(all < 0.9, "{all:.2} are served, so this is no overload");
    let tenths = long.chunks(long.len().div_ceil(10)).map(share);
    let tenths: Vec<f64> = tenths.collect();
    let is_fair = tenths.iter().all(|tenth| (tenth - all).abs() <= 0.1);
    assert!(is_fair, "served by size, smallest tenth first: {tenths:.2?}; {all:.2} of all");
}

#[test]
fn overload_lowers_what_is_assigned() {
    let assigned = |factor| {
        let Burst { begin_ms, end_ms, .. } = DAY.long_burst;
        let tokens = |day: Simulation| -> u64 {
            let all = day.long_assignments.iter();
            let counted = all.filter(|known| (begin_ms..end_ms).contains(&known.at_ms));
            counted.map(|known| known.prompt_tokens).sum()
        };
        SEEDS.map(|seed| tokens(play(factor, seed))).sum::<u64>() as f64
    };
    let (full, over) = (assigned(CAPACITY), assigned(OVERLOAD));
    let kept = over / full;
    assert!(kept >= 0.95, "{kept:.2} of the tokens that are assigned at capacity");
}

#[test]
fn overload_starves_a_document() {
    const MIN_CALLERS: usize = 30;
    let days: Vec<Simulation> = SEEDS.map(|seed| play(OVERLOAD, seed)).collect();
    let long = days.iter().flat_map(|day| &day.callers).filter(is_counted);
    let mut documents: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for caller in long {
        let (callers, served) = documents.entry(caller.document).or_default();
        *callers += 1;
        *served += usize::from(caller.is_served);
    }
    let total = |part: fn(&(usize, usize)) -> usize| documents.values().map(part).sum::<usize>();
    let all = total(|(_, served)| *served) as f64 / total(|(callers, _)| *callers) as f64;
    let known = documents.values().filter(|(callers, _)| *callers >= MIN_CALLERS);
    let shares = known.map(|(callers, served)| *served as f64 / *callers as f64);
    let least = shares.fold(f64::INFINITY, f64::min);
    println!("least {least:.3} of a document's prompts are served, {all:.3} of all");
    assert!(least >= 0.25 * all, "{least:.3} of a document's prompts are served, {all:.3} of all");
}
