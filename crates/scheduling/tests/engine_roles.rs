//! Tests of the assignment of engines to short and long prompts.

use redwingrill_scheduling::engine_model::SpeedClass;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::placement::ArrivalRates;
use redwingrill_scheduling::placement::EngineRoles;
use redwingrill_scheduling::placement::PromptCosts;
use redwingrill_scheduling::placement::RoleEngine;

struct Case {
    name: &'static str,
    engines: u64,
    rates: ArrivalRates,
    costs: PromptCosts,
    /// The engines for short prompts, fewest and most.
    short: std::ops::RangeInclusive<usize>,
}

#[test]
fn engines_for_long_prompts_have_time_for_them_and_memory_for_their_prefixes() {
    let cases = [
        Case {
            name: "short prompts take most of the time, long ones are rare and share little",
            engines: 18,
            rates: ArrivalRates { short_per_s: 150, long_per_s: 6 },
            costs: PromptCosts {
                short_ms: 28.0,
                long_ms: 180.0,
                prefix_engines: 2.0,
                cold_long_ms: 220.0,
            },
            // 4.2 and 1.1 engine seconds a second: four in five engines, at most three quarters.
            short: 13..=13,
        },
        Case {
            name: "the prefixes of long prompts need the memory of most engines",
            engines: 18,
            rates: ArrivalRates { short_per_s: 204, long_per_s: 23 },
            costs: PromptCosts {
                short_ms: 14.0,
                long_ms: 185.0,
                prefix_engines: 25.0,
                cold_long_ms: 300.0,
            },
            // 2.9 engine seconds of short prompts a second, with headroom.
            short: 5..=5,
        },
        Case {
            name: "long prompts take all the time",
            engines: 18,
            rates: ArrivalRates { short_per_s: 1, long_per_s: 100 },
            costs: PromptCosts {
                short_ms: 10.0,
                long_ms: 300.0,
                prefix_engines: 1.0,
                cold_long_ms: 400.0,
            },
            short: 5..=5,
        },
        Case {
            name: "no load yet",
            engines: 4,
            rates: ArrivalRates::default(),
            costs: PromptCosts {
                short_ms: 10.0,
                long_ms: 300.0,
                prefix_engines: 0.0,
                cold_long_ms: 400.0,
            },
            short: 1..=1,
        },
    ];
    for case in cases {
        let ids: Vec<String> = (0..case.engines).map(|n| format!("e{n}")).collect();
        let engines = ids.iter().enumerate();
        let engines = engines.map(|(n, id)| RoleEngine {
            index: UpstreamIndex(n as u64),
            id: id.as_str(),
            is_newest: true,
            speed_class: SpeedClass::default(),
        });
        let roles = EngineRoles::choose(engines, case.rates, case.costs);
        let short = (0..case.engines).filter(|n| roles.is_short(UpstreamIndex(*n))).count();
        assert!(case.short.contains(&short), "{}: {short} of {}", case.name, case.engines);
        assert!(roles.has_long(), "{}", case.name);
    }
}

/// Guards against long prompts that are left to the slowest engines, and against too few engines for
/// short ones.
#[test]
fn slow_engines_serve_short_prompts_with_their_lower_capacity() {
    let rates = ArrivalRates { short_per_s: 200, long_per_s: 1 };
    let costs =
        PromptCosts { short_ms: 20.0, long_ms: 10.0, prefix_engines: 12.0, cold_long_ms: 10.0 };
    // Short prompts need six usual engines, or eight of which six take 1.5 times as long.
    for (slow_from, expected) in [(18, 6), (12, 8)] {
        let ids: Vec<String> = (0..18).map(|n| format!("e{n}")).collect();
        let engines = ids.iter().enumerate().map(|(n, id)| RoleEngine {
            index: UpstreamIndex(n as u64),
            id: id.as_str(),
            is_newest: true,
            speed_class: SpeedClass::default().updated(if n < slow_from { 1.0 } else { 1.5 }),
        });
        let roles = EngineRoles::choose(engines, rates, costs);
        let short: Vec<u64> = (0..18).filter(|n| roles.is_short(UpstreamIndex(*n))).collect();
        assert_eq!(short.len(), expected, "{short:?}");
        assert!((slow_from..18).all(|n| short.contains(&(n as u64))), "{short:?}");
    }
}

/// Guards against roles and prefix owners that move while speed factors drift.
#[test]
fn speed_class_does_not_flap_as_the_factor_drifts() {
    let mut class = SpeedClass::default();
    // Up to a class, drift around its limit, and back.
    let ratios = [1.0, 1.25, 1.3, 1.4, 1.3, 1.2, 1.15, 1.25, 1.1, 1.2, 0.8, 1.2, f64::NAN];
    let is_slow = ratios.map(|ratio| {
        class = class.updated(ratio);
        class > SpeedClass::default()
    });
    let expected =
        [false, false, false, true, true, true, true, true, false, false, false, false, false];
    assert_eq!(is_slow, expected);
}
