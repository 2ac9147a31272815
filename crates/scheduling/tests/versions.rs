//! Versions of weights: which engines may answer while newer ones are named.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::budget::BudgetSpec;
use redwingrill_scheduling::rollout::EngineWeights;
use redwingrill_scheduling::rollout::LoadPlan;
use redwingrill_scheduling::scheduler::Ask;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::SchedulerOptions;

const VERSION_LIMIT_MS: u64 = 20_000;

fn scheduler() -> Scheduler {
    Scheduler::new(SchedulerOptions {
        failure_domain: "a".to_owned(),
        budget: BudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
        version_limit_ms: VERSION_LIMIT_MS,
        seed: 1,
    })
}

fn engine(id: &str, version: u64) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        failure_domain: "a".to_owned(),
        slots: 32,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
        models: vec![("m".to_owned(), WeightsVersion(version))],
        started_unix_ms: None,
    })
}

fn ask() -> Ask {
    let prompt = DeclaredPrompt { model: "m".to_owned(), ..DeclaredPrompt::default() };
    Ask {
        service: "llm".to_owned(),
        prompt: Some(Arc::new(prompt)),
        isolated_account: None,
        urgency: 0,
        arrived_ms: 0,
        deadline_ms: u64::MAX,
        target_ms: 500,
        tried: Vec::new(),
    }
}

struct Case {
    name: &'static str,
    /// Version and time of each naming, after the start.
    named: &'static [(u64, u64)],
    at_ms: u64,
    is_sent: bool,
}

#[test]
fn the_first_newer_version_ends_an_older_one() {
    let cases = [
        Case { name: "nothing newer", named: &[(1, 5_000)], at_ms: 90_000, is_sent: true },
        Case { name: "just overtaken", named: &[(2, 5_000)], at_ms: 6_000, is_sent: true },
        Case { name: "long overtaken", named: &[(2, 5_000)], at_ms: 24_900, is_sent: false },
        Case {
            name: "overtaken again does not begin anew",
            named: &[(2, 5_000), (3, 15_000), (4, 24_000)],
            at_ms: 24_900,
            is_sent: false,
        },
    ];
    for case in cases {
        let mut scheduler = scheduler();
        scheduler.set_upstreams(vec![engine("e", 1)], 0);
        scheduler.name_version("m", WeightsVersion(1), 0);
        for (version, at_ms) in case.named {
            scheduler.name_version("m", WeightsVersion(*version), *at_ms);
        }
        let choice = scheduler.choose(&ask(), case.at_ms);
        assert_eq!(matches!(choice, Choice::Send(_)), case.is_sent, "{}", case.name);
    }
}

#[test]
fn engines_with_the_oldest_weights_load_first() {
    let versions = HashMap::from([("a", 2), ("b", 1), ("c", 2), ("d", 2)]);
    let engines = versions.iter().map(|(id, version)| EngineWeights {
        upstream_id: (*id).to_owned(),
        holds: WeightsVersion(*version),
        load: if *id == "b" { 20 } else { 0 },
    });
    let engines: Vec<_> = engines.collect();
    let (next, under_way) = LoadPlan::default().next(&engines, WeightsVersion(3), 0);
    assert_eq!(next, ["b"]);
    assert!(under_way.is_empty());
}
