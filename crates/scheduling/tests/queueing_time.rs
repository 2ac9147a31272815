//! Replay of an overload of long prompts on engines of three speeds, whose callers leave early.
//!
//! Engines follow the data sheet of a deployment where prompts were refused at an age of 0.38 s while
//! engines spent half of their time without prefill.

mod support;

use support::batching::EngineSheet;
use support::replay::Burst;
use support::replay::Caller;
use support::replay::Day;
use support::replay::Setup;
use support::replay::Simulation;
use support::replay::Sizes;
use support::replay::Variant;

const SHEET: EngineSheet = EngineSheet {
    slots: 48,
    queue_limit: 144,
    memory_tokens: 186_200,
    step_ms: 3.79,
    step_ms_per_slot: 0.0877,
    prefill_tokens_per_ms: 56.6,
    chunk_tokens: 2_048,
    setup_ms: 40.0,
    fetch_ms_per_1k_tokens: 1.5,
    load_weights_ms: 2_500.0,
    tokens_per_event: 4,
};

const OVERLOAD: Burst = Burst { begin_ms: 4_000, end_ms: 16_000, factor: 2.2 };

const DAY: Day = Day {
    sheet: SHEET,
    engines: 20,
    time_factors: &[1.0],
    domains: 3,
    documents: 300,
    document_tokens: Sizes { mean: 13_300.0, sigma: 0.63, limit: 39_900.0 },
    long_per_s: 41.0,
    short_per_s: 218.0,
    long_burst: OVERLOAD,
    short_burst: Burst { begin_ms: 0, end_ms: 0, factor: 1.0 },
    long_target_ms: 600,
    dark_engines: 0,
    dark_ms: 0,
    dark_removed_ms: 0,
    new_version_ms: None,
    restart_ms: None,
    run_ms: 20_000,
    variant: Variant {
        speeds: &[0.6, 1.0, 1.6],
        long_patience_ms: 3_200,
        long_deadline_ms: 8_000,
        ..Variant::NONE
    },
};

const SEEDS: std::ops::Range<u64> = 0..6;
const SHORT_TARGET_MS: u64 = 400;

/// What became of the requests that arrived in the overload.
#[derive(Debug)]
struct Outcome {
    /// The share of long prompts that were served.
    served: f64,
    in_time: f64,
    short_in_time: f64,
    /// The age of long prompts at their refusal.
    median_refusal_ms: u64,
    /// The part of the engines' time in which they prefill.
    prefill: f64,
}

impl Outcome {
    /// Returns the worth of the answers: a late one counts half of one in time.
    fn worth(&self) -> f64 {
        (self.served + self.in_time) / 2.0
    }
}

fn play(factor: f64) -> Outcome {
    let plays = SEEDS.map(|seed| {
        let mut day = DAY.clone();
        day.long_burst.factor = factor;
        let setup =
            Setup { day, nodes: 12, is_coordinated: true, faults: Vec::new(), loss: 0.0, seed };
        Simulation::new(setup).run()
    });
    let plays: Vec<Simulation> = plays.collect();
    let is_counted =
        |caller: &&Caller| (OVERLOAD.begin_ms..OVERLOAD.end_ms).contains(&caller.arrived_ms);
    let callers = plays.iter().flat_map(|play| &play.callers).filter(is_counted);
    let (long, short): (Vec<&Caller>, Vec<&Caller>) = callers.partition(|caller| caller.is_long);
    let in_time = |callers: &[&Caller], target_ms: u64| {
        let is_in_time = |caller: &&&Caller| {
            let first_ms = caller.first_event_ms.filter(|_| caller.is_served);
            first_ms.is_some_and(|first_ms| first_ms - caller.arrived_ms <= target_ms)
        };
        callers.iter().filter(is_in_time).count() as f64 / callers.len() as f64
    };
    let mut ages: Vec<u64> =
        long.iter().flat_map(|caller| caller.refused_after_ms.iter().copied()).collect();
    ages.sort_unstable();
    let steps = plays.iter().flat_map(|play| &play.engines).flat_map(|engine| &engine.steps);
    let full_ms = OVERLOAD.begin_ms as f64..OVERLOAD.end_ms as f64;
    let prefill_ms: f64 =
        steps.filter(|step| full_ms.contains(&step.begin_ms)).map(|step| step.prefill_ms).sum();
    let engine_ms = (full_ms.end - full_ms.start) * (plays.len() * DAY.engines) as f64;
    Outcome {
        served: long.iter().filter(|caller| caller.is_served).count() as f64 / long.len() as f64,
        in_time: in_time(&long, DAY.long_target_ms),
        short_in_time: in_time(&short, SHORT_TARGET_MS),
        median_refusal_ms: ages.get(ages.len() / 2).copied().unwrap_or_default(),
        prefill: prefill_ms / engine_ms,
    }
}

struct OverloadCase {
    factor: f64,
    min_worth: f64,
    min_prefill: f64,
}

#[test]
fn overload_of_long_prompts_leaves_engines_idle() {
    let cases = [
        OverloadCase { factor: 1.0, min_worth: 0.87, min_prefill: 0.3 },
        OverloadCase { factor: 1.4, min_worth: 0.68, min_prefill: 0.58 },
        OverloadCase { factor: 2.2, min_worth: 0.40, min_prefill: 0.58 },
    ];
    for OverloadCase { factor, min_worth, min_prefill } in cases {
        let outcome = play(factor);
        println!("{factor}: worth {:.3}, {outcome:.3?}", outcome.worth());
        assert!(outcome.worth() >= min_worth, "{factor} times the usual load: {outcome:.3?}");
        // Engines may be idle only if nearly all requests are served.
        let is_used = outcome.prefill >= min_prefill || outcome.served >= 0.98;
        assert!(is_used, "engines are idle: {outcome:.3?}");
        assert!(outcome.median_refusal_ms <= 1_300, "refusals come late: {outcome:.3?}");
        assert!(outcome.short_in_time >= 0.97, "long prompts delay short ones: {outcome:.3?}");
    }
}
