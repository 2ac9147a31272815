//! Tests of retry budgets, adaptive concurrency limits, ejection and ramp-up.

use redwingrill_admission::engines::Budget;
use redwingrill_admission::engines::ConcurrencyLimit;
use redwingrill_admission::engines::EngineHealth;
use redwingrill_admission::engines::HealthState;
use redwingrill_admission::engines::Pressure;

#[test]
fn retries_stay_a_fraction_of_successes_when_a_third_of_the_engines_fail() {
    const PERCENT: u32 = 10;
    const BURST: u32 = 10;
    const REQUESTS: u64 = 9_000;
    let mut budget = Budget::new(PERCENT, BURST);
    let mut successes = 0;
    for request in 0..REQUESTS {
        let mut engine = request;
        // Every third engine fails; a retry goes to the next engine.
        while engine % 3 == 0 && budget.spend() {
            engine += 1;
        }
        if engine % 3 != 0 {
            budget.record_success();
            successes += 1;
        }
    }
    assert!(budget.spent() <= u64::from(BURST) + successes * u64::from(PERCENT) / 100);
    assert!(budget.refused() > 0);
}

#[test]
fn ejections_grow_longer_and_the_limit_ramps_up() {
    let mut health = EngineHealth::default();
    assert!(!health.record_failure(0));
    assert!(!health.record_failure(0));
    assert!(health.record_failure(0));
    assert_eq!(health.limit_share(999), 0.0);
    let early = health.limit_share(1_000);
    assert!(early > 0.0 && early < 0.2);
    assert!(health.limit_share(2_000) > early);
    // A single failure ejects the engine during ramp-up.
    assert!(health.record_failure(2_000));
    assert_eq!(health.state(), HealthState::Ejected { until_ms: 4_000 });
    assert!(health.limit_share(4_000) < 0.2);
    health.record_success(9_100);
    assert_eq!(health.state(), HealthState::Healthy);
    assert_eq!(health.limit_share(9_100), 1.0);
}

#[test]
fn unreachable_engine_is_ejected_at_once() {
    let mut health = EngineHealth::default();
    assert!(health.record_unreachable(0));
    assert_eq!(health.limit_share(999), 0.0);
    assert!(!health.record_unreachable(500));
    assert!(health.limit_share(1_000) < 0.2);
}

#[test]
fn restarted_engine_starts_with_a_small_limit() {
    let mut health = EngineHealth::default();
    let mut limit = ConcurrencyLimit::default();
    health.record_restart(1_000);
    limit.reset(1_000);
    assert_eq!(limit.get(), 1.0);
    assert!(health.limit_share(1_000) < 0.2);
    assert_eq!(health.limit_share(6_000), 1.0);
}

#[test]
fn concurrency_limit_follows_pressure() {
    struct Case {
        name: &'static str,
        pressure: Pressure,
        is_fully_used: bool,
        grows: Option<bool>,
    }
    let cases = [
        Case {
            name: "fully used, no waiting",
            pressure: Pressure::Free,
            is_fully_used: true,
            grows: Some(true),
        },
        Case {
            name: "unused, no waiting",
            pressure: Pressure::Free,
            is_fully_used: false,
            grows: None,
        },
        Case {
            name: "waiting",
            pressure: Pressure::from_report(8, 4),
            is_fully_used: true,
            grows: Some(false),
        },
        Case {
            name: "waiting within allowance",
            pressure: Pressure::from_report(8, 1),
            is_fully_used: true,
            grows: Some(true),
        },
        Case {
            name: "late first token",
            pressure: Pressure::Late,
            is_fully_used: true,
            grows: Some(false),
        },
    ];
    for case in cases {
        let mut limit = ConcurrencyLimit::default();
        let before = limit.get();
        for now_ms in (1_000..5_000).step_by(100) {
            limit.record_in_flight(if case.is_fully_used { limit.get().ceil() as u32 } else { 0 });
            limit.observe(case.pressure, now_ms);
        }
        let grows = (limit.get() != before).then_some(limit.get() > before);
        assert_eq!(grows, case.grows, "{}", case.name);
        assert!(limit.get() > 0.0);
    }
}

#[test]
fn a_single_waiting_report_does_not_end_slow_start() {
    struct Case {
        name: &'static str,
        // Running and waiting requests of load reports, 500 ms apart.
        reports: &'static [(u32, u32)],
        in_slow_start: bool,
    }
    let cases = [
        Case { name: "burst", reports: &[(0, 4), (4, 0)], in_slow_start: true },
        Case {
            name: "separate bursts",
            reports: &[(0, 4), (4, 0), (0, 4), (4, 0)],
            in_slow_start: true,
        },
        Case { name: "standing queue", reports: &[(8, 4), (8, 4)], in_slow_start: false },
        Case {
            name: "standing queue after a burst",
            reports: &[(0, 4), (4, 0), (8, 4), (8, 4)],
            in_slow_start: false,
        },
    ];
    for case in cases {
        let mut limit = ConcurrencyLimit::default();
        let mut now_ms = 1_000;
        for &(running, waiting) in case.reports {
            limit.observe(Pressure::from_report(running, waiting), now_ms);
            now_ms += 500;
        }
        let before = limit.get();
        let grew = limit.record_timely_first_token(before.ceil() as u32);
        assert_eq!(grew, case.in_slow_start, "{}", case.name);
    }
}
