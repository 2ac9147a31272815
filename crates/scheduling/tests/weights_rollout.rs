//! Versions of weights: which engines may answer while newer ones are named, and who orders them.

mod support;

use quickcheck::quickcheck;
use support::MODEL;
use support::ask;
use support::engine;
use support::scheduler_at;
use support::short_prompt;

use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::rollout::Claim;
use redwingrill_scheduling::rollout::CommandResult;
use redwingrill_scheduling::rollout::EngineWeights;
use redwingrill_scheduling::rollout::Leadership;
use redwingrill_scheduling::rollout::LoadPlan;
use redwingrill_scheduling::scheduler::Choice;

/// The clock at the start of the node.
const START_MS: u64 = 100_000;

struct NamingCase {
    name: &'static str,
    /// Version and time of each naming, after the start.
    named: &'static [(u64, u64)],
    at_ms: u64,
    is_sent: bool,
}

#[test]
fn the_first_newer_version_ends_an_older_one() {
    let cases = [
        NamingCase { name: "nothing newer", named: &[(1, 5_000)], at_ms: 90_000, is_sent: true },
        NamingCase {
            name: "the first naming that the node hears, long after its start",
            named: &[(2, 5_000)],
            at_ms: 18_000,
            is_sent: true,
        },
        NamingCase {
            name: "found at the start, so named before",
            named: &[(2, 100)],
            at_ms: 9_000,
            is_sent: false,
        },
        NamingCase { name: "just overtaken", named: &[(2, 5_000)], at_ms: 6_000, is_sent: true },
        NamingCase { name: "long overtaken", named: &[(2, 5_000)], at_ms: 24_900, is_sent: false },
        NamingCase {
            name: "overtaken again does not begin anew",
            named: &[(2, 5_000), (3, 15_000), (4, 24_000)],
            at_ms: 24_900,
            is_sent: false,
        },
    ];
    for case in cases {
        let mut scheduler = scheduler_at(1, START_MS);
        scheduler.set_upstreams(vec![engine("e", 1)], START_MS);
        for (version, at_ms) in case.named {
            scheduler.set_target_version(MODEL, WeightsVersion(*version), START_MS + at_ms);
        }
        let now_ms = START_MS + case.at_ms;
        let choice = scheduler.choose(&ask(Some(short_prompt(1)), now_ms), now_ms);
        assert_eq!(matches!(choice, Choice::Send(_)), case.is_sent, "{}", case.name);
    }
}

fn weights(id: &str, loaded_version: u64, load: u32) -> EngineWeights {
    EngineWeights {
        upstream_id: id.to_owned(),
        loaded_version: WeightsVersion(loaded_version),
        load,
    }
}

#[test]
fn engines_with_the_oldest_weights_load_first() {
    let engines = [weights("a", 2, 0), weights("b", 1, 20), weights("c", 2, 0)];
    let (next, under_way) = LoadPlan::default().next(&engines, WeightsVersion(3), 0);
    assert_eq!(next, ["b"]);
    assert!(under_way.is_empty());
}

#[test]
fn a_part_of_the_engines_loads_at_a_time_and_none_twice() {
    struct Case {
        engines: usize,
        at_once: usize,
    }
    // How many load at once before each takes longer, as the sites' sheets say.
    let cases = [
        Case { engines: 1, at_once: 1 },
        Case { engines: 12, at_once: 2 },
        Case { engines: 18, at_once: 3 },
        Case { engines: 89, at_once: 17 },
    ];
    for Case { engines, at_once } in cases {
        let listed: Vec<_> = (0..engines).map(|n| weights(&format!("e{n}"), 1, 0)).collect();
        let mut plan = LoadPlan::default();
        let (first, _) = plan.next(&listed, WeightsVersion(2), 0);
        assert_eq!(first.len(), at_once, "{engines} engines");
        for id in &first {
            plan.record_result(id, WeightsVersion(2), CommandResult::InProgress, 0);
        }
        let (second, under_way) = plan.next(&listed, WeightsVersion(2), 1_000);
        assert!(second.is_empty(), "{engines} engines: {second:?}");
        assert_eq!(under_way.len(), at_once, "{engines} engines");
    }
}

#[test]
fn a_lost_order_is_given_again() {
    let engines = [weights("a", 1, 0)];
    let mut plan = LoadPlan::default();
    plan.record_result("a", WeightsVersion(2), CommandResult::InProgress, 0);
    assert!(plan.next(&engines, WeightsVersion(2), 8_000).0.is_empty());
    assert_eq!(plan.next(&engines, WeightsVersion(2), 9_000).0, ["a"]);
}

#[test]
fn an_engine_is_not_ordered_to_a_version_that_was_overtaken() {
    let mut plan = LoadPlan::default();
    plan.record_result("a", WeightsVersion(2), CommandResult::InProgress, 0);
    // It loads version 2 until it lists it; then version 3 is ordered at once.
    let (next, under_way) = plan.next(&[weights("a", 1, 0)], WeightsVersion(3), 100);
    assert_eq!((next.len(), under_way.len()), (0, 1));
    assert_eq!(plan.next(&[weights("a", 2, 0)], WeightsVersion(3), 3_000).0, ["a"]);
    plan.record_result("a", WeightsVersion(3), CommandResult::AlreadyLoaded, 3_100);
    assert!(!plan.has_work(&[weights("a", 2, 0)], WeightsVersion(3)));
}

const LEASE_MS: u64 = 3_000;

#[test]
fn a_node_waits_out_a_holder_that_it_may_follow() {
    let mut tenure = Leadership::new(LEASE_MS, 10_000);
    assert_eq!(tenure.claim(true, false, 0, 10_100), Claim::Now);
    tenure.acquired(7, 10_100);
    assert_eq!(tenure.active_fencing_number(10_200), None);
    assert_eq!(tenure.active_fencing_number(12_000), None);
    tenure.renewed(12_900);
    assert_eq!(tenure.active_fencing_number(13_000), Some(7));
}

#[test]
fn a_holder_stops_before_its_lease_ends() {
    let mut tenure = Leadership::new(LEASE_MS, 0);
    tenure.acquired(7, 10_000);
    assert_eq!(tenure.active_fencing_number(12_000), Some(7));
    assert_eq!(tenure.active_fencing_number(12_100), None);
    tenure.renewed(12_200);
    assert_eq!(tenure.active_fencing_number(14_000), Some(7));
    tenure.observe_other_leader(14_100);
    assert_eq!(tenure.active_fencing_number(14_100), None);
}

#[test]
fn nodes_claim_one_after_the_other() {
    let mut tenure = Leadership::new(LEASE_MS, 0);
    assert_eq!(tenure.claim(true, false, 2, 5_000), Claim::NotYet);
    assert_eq!(tenure.claim(true, false, 2, 5_700), Claim::NotYet);
    assert_eq!(tenure.claim(true, false, 2, 5_800), Claim::Now);
    assert_eq!(tenure.claim(true, true, 2, 5_900), Claim::NotYet);
    assert_eq!(tenure.claim(true, false, 2, 6_000), Claim::NotYet);
}

quickcheck! {
    /// Two nodes, the second of which wins the key when the lease of the first has run out at the
    /// store, never order within one lease of each other.
    fn holders_never_order_within_a_lease(renewed_ms: u16, seen_late_ms: u16) -> bool {
        let renewed_ms = 10_000 + u64::from(renewed_ms);
        let mut first = Leadership::new(LEASE_MS, 0);
        first.acquired(1, 10_000);
        first.renewed(renewed_ms);
        let last_order_ms = (10_000..renewed_ms + 2 * LEASE_MS)
            .rev()
            .find(|&at_ms| first.active_fencing_number(at_ms).is_some())
            .expect("it ordered");
        // The store counts the lease from a later moment than the holder.
        let lapsed_ms = renewed_ms + LEASE_MS;
        let won_ms = lapsed_ms + u64::from(seen_late_ms % 1_000);
        let mut second = Leadership::new(LEASE_MS, 0);
        second.observe_other_leader(lapsed_ms);
        second.acquired(2, won_ms);
        second.renewed(won_ms + LEASE_MS);
        let first_order_ms = (won_ms..won_ms + 3 * LEASE_MS)
            .find(|&at_ms| second.active_fencing_number(at_ms).is_some())
            .expect("it orders");
        first_order_ms >= last_order_ms + LEASE_MS
    }
}
