//! Tests of the learned model of the engines.

use quickcheck::quickcheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_scheduling::engine_model::CurveFit;
use redwingrill_scheduling::engine_model::EngineSpeed;
use redwingrill_scheduling::engine_model::FirstEventSample;
use redwingrill_scheduling::engine_model::PauseEstimate;
use redwingrill_scheduling::engine_model::PrefillCurve;
use redwingrill_scheduling::engine_model::PromptWork;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::engine_model::ServiceModel;

const PROMPTS: [u64; 6] = [200, 900, 2_400, 6_000, 13_000, 40_000];

fn work(unread_tokens: u64) -> PromptWork {
    PromptWork { unread_tokens, prompt_tokens: unread_tokens + 500 }
}

fn curve(base_ms: f64, ms_per_1k_tokens: f64, ms_per_1m_pairs: f64) -> PrefillCurve {
    PrefillCurve { base_ms, ms_per_1k_tokens, ms_per_1m_pairs }
}

fn relative_error(learned: &PrefillCurve, truth: &PrefillCurve, unread_tokens: u64) -> f64 {
    let work = work(unread_tokens);
    (learned.first_event_ms(work) / truth.first_event_ms(work) - 1.0).abs()
}

struct Sheet {
    name: &'static str,
    truth: PrefillCurve,
}

fn sheets() -> [Sheet; 4] {
    [
        Sheet { name: "56 tokens a ms", truth: curve(93.0, 17.8, 0.31) },
        Sheet { name: "112 tokens a ms", truth: curve(47.0, 8.9, 0.15) },
        Sheet { name: "a tenth of the rate", truth: curve(500.0, 150.0, 1.0) },
        Sheet { name: "ten times the rate", truth: curve(8.0, 1.8, 0.02) },
    ]
}

#[test]
fn fit_finds_the_curve_of_unlike_engines_after_few_responses() {
    for sheet in sheets() {
        let mut fit = CurveFit::default();
        let mut rng = SmallRng::seed_from_u64(3);
        for _ in 0..200 {
            let unread_tokens = PROMPTS[rng.random_range(0..PROMPTS.len())];
            let noise = rng.random_range(0.95..1.05);
            fit.observe(
                work(unread_tokens),
                sheet.truth.first_event_ms(work(unread_tokens)) * noise,
            );
        }
        for unread_tokens in PROMPTS {
            let error = relative_error(fit.curve(), &sheet.truth, unread_tokens);
            assert!(error < 0.1, "{}: {unread_tokens} tokens: error {error:.3}", sheet.name);
        }
    }
}

#[test]
fn fit_withstands_queues_that_nobody_reported_and_spoilt_samples() {
    for sheet in sheets() {
        let mut fit = CurveFit::default();
        let mut rng = SmallRng::seed_from_u64(5);
        for _ in 0..600 {
            let unread_tokens = PROMPTS[rng.random_range(0..PROMPTS.len())];
            let true_ms = sheet.truth.first_event_ms(work(unread_tokens));
            let observed_ms = match rng.random_range(0..20) {
                // Prompts of other nodes were in front of it.
                0..3 => true_ms * rng.random_range(1.5..6.0),
                // The response was made up.
                3 => 0.1,
                _ => true_ms,
            };
            fit.observe(work(unread_tokens), observed_ms);
        }
        for unread_tokens in PROMPTS {
            let error = relative_error(fit.curve(), &sheet.truth, unread_tokens);
            assert!(error < 0.2, "{}: {unread_tokens} tokens: error {error:.3}", sheet.name);
        }
    }
}

#[test]
fn speed_of_a_slow_engine_is_learned_apart_from_other_work_on_its_machine() {
    let truth = curve(47.0, 8.9, 0.15);
    let mut model = ServiceModel::default();
    let mut engines = [EngineSpeed::default(); 3];
    let factors = [0.9, 0.9, 1.2];
    let mut rng = SmallRng::seed_from_u64(7);
    for step in 0..900 {
        let engine = step % engines.len();
        let unread_tokens = PROMPTS[rng.random_range(0..PROMPTS.len())];
        let slowdown = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
        engines[engine].observe_slowdown(slowdown);
        let sample = FirstEventSample {
            work: work(unread_tokens),
            fetched_tokens: 0,
            queued_tokens: 0,
            observed_ms: truth.first_event_ms(work(unread_tokens)) * factors[engine] * slowdown,
        };
        model.observe_first_event(&sample, &mut engines[engine]);
    }
    let ratio = engines[2].factor() / engines[0].factor();
    assert!((ratio / (1.2 / 0.9) - 1.0).abs() < 0.1, "slow engine: {ratio:.3}");
    let own_ms = model.curve().first_event_ms(work(6_000)) * engines[0].factor();
    let true_ms = truth.first_event_ms(work(6_000)) * 0.9;
    assert!((own_ms / true_ms - 1.0).abs() < 0.1, "{own_ms:.0} ms, {true_ms:.0} ms");
}

#[test]
fn engine_that_claims_another_speed_has_bounded_influence() {
    let mut speed = EngineSpeed::default();
    for _ in 0..10_000 {
        speed.observe_slowdown(1e9);
        speed.observe_ratio(1e-9);
        speed.merge(1e-9, 1e9, 1e9);
    }
    assert!(speed.factor() >= 0.25, "{}", speed.factor());
    assert!(speed.time_factor() <= 10.0, "{}", speed.time_factor());
}

#[test]
fn curve_of_other_nodes_serves_a_node_without_responses() {
    let truth = curve(47.0, 8.9, 0.15);
    let mut fit = CurveFit::default();
    for _ in 0..30 {
        fit.merge_prior(truth, 300.0);
    }
    for unread_tokens in PROMPTS {
        let error = relative_error(fit.curve(), &truth, unread_tokens);
        assert!(error < 0.1, "{unread_tokens} tokens: error {error:.3}");
    }
}

/// Prompts of each size have a route of their own.
fn route_of(tokens: u64) -> RouteTag {
    RouteTag(tokens as u32)
}

#[test]
fn long_is_a_matter_of_engine_time_against_the_urgent_target() {
    let mut slow = ServiceModel::default();
    let mut fast = ServiceModel::default();
    for step in 0..300 {
        for (model, truth) in
            [(&mut slow, curve(93.0, 17.8, 0.31)), (&mut fast, curve(8.0, 1.0, 0.01))]
        {
            let unread_tokens = PROMPTS[step % PROMPTS.len()];
            model.observe_prompt(route_of(unread_tokens), unread_tokens, unread_tokens, 500);
            let sample = FirstEventSample {
                work: work(unread_tokens),
                fetched_tokens: 0,
                queued_tokens: 0,
                observed_ms: truth.first_event_ms(work(unread_tokens)),
            };
            model.observe_first_event(&sample, &mut EngineSpeed::default());
        }
    }
    let is_long = |model: &ServiceModel, tokens| model.is_long(route_of(tokens), tokens);
    assert!(is_long(&slow, 13_000) && !is_long(&slow, 380));
    assert!(!is_long(&fast, 13_000), "a thirteenth of the time");
}

#[test]
fn slow_but_sound_stream_is_not_stalled() {
    let mut pauses = PauseEstimate::default();
    // Without a stated pause, the usual pauses decide.
    for _ in 0..100 {
        pauses.observe(900);
    }
    assert!(pauses.stall_timeout_ms(None) > 2_000);
    assert!(pauses.stall_timeout_ms(Some(300)) > 2_000);
    // With short pauses, a stalled stream is noticed soon, but never before the route's own pause.
    for _ in 0..1_000 {
        pauses.observe(30);
    }
    assert!(pauses.stall_timeout_ms(None) < 500);
    assert!(pauses.stall_timeout_ms(Some(400)) >= 1_200);
}

quickcheck! {
    fn estimates_stay_finite_and_positive(samples: Vec<(u32, f64)>, prior: (f64, f64, f64)) -> bool {
        let mut fit = CurveFit::default();
        fit.merge_prior([prior.0 as f32, prior.1 as f32, prior.2 as f32].into(), prior.0);
        for (unread_tokens, observed_ms) in samples {
            fit.observe(work(u64::from(unread_tokens)), observed_ms);
        }
        PROMPTS.into_iter().all(|unread_tokens| {
            let first_event_ms = fit.curve().first_event_ms(work(unread_tokens));
            first_event_ms.is_finite() && first_event_ms > 0.0
        })
    }

    fn factors_stay_within_their_range(samples: Vec<(f64, f64, f64)>) -> bool {
        let mut speed = EngineSpeed::default();
        for (ratio, slowdown, samples) in samples {
            speed.observe_slowdown(slowdown);
            speed.observe_ratio(ratio);
            speed.merge(ratio, slowdown, samples);
        }
        (0.24..4.1).contains(&speed.factor()) && speed.time_factor().is_finite()
    }
}
