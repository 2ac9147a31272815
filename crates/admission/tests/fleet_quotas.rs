//! Replays of fleets with quotas of accounts, under load and faults.

mod support;

use std::collections::BTreeMap;

use crate::support::quota_fleet::Fleet;
use crate::support::quota_fleet::Load;
use crate::support::quota_fleet::Network;
use crate::support::quota_fleet::Outcome;
use crate::support::quota_fleet::member;
use redwingrill_admission::limits::LimitSpec;
use redwingrill_admission::limits::fleet::OWNERS_LIMIT;
use redwingrill_admission::limits::fleet::QuotaOptions;
use redwingrill_admission::limits::fleet::owners_of;
use redwingrill_routing::AccountTag;

const LARGE: AccountTag = AccountTag(1);
const SMALL: AccountTag = AccountTag(2);
const LARGE_LIMIT: LimitSpec = limit(1_062_479);
const SMALL_LIMIT: LimitSpec = limit(47_000);
const LIMITS: [(AccountTag, LimitSpec); 2] = [(LARGE, LARGE_LIMIT), (SMALL, SMALL_LIMIT)];

const OPTIONS: QuotaOptions =
    QuotaOptions { window_ms: 8_000, overshoot: 0.1, slack_tokens: 190_000 };

const fn limit(per_s: u64) -> LimitSpec {
    LimitSpec { tokens_per_s: per_s, burst_tokens: per_s, max_in_flight: 0 }
}

/// The usual load, about 0.7 of the quotas, times a factor for the large account.
fn loads(factor: f64) -> [Load; 4] {
    [
        Load { account: LARGE, tokens: 17_000, per_s: 40.0 * factor },
        Load { account: LARGE, tokens: 383, per_s: 160.0 * factor },
        Load { account: SMALL, tokens: 17_000, per_s: 1.0 },
        Load { account: SMALL, tokens: 383, per_s: 8.0 },
    ]
}

/// A replay of a fleet: a usual time, then a fault.
struct Case {
    name: &'static str,
    nodes: usize,
    factor: f64,
    network: Network,
    refunds: f64,
    /// Begins the fault.
    fault: fn(&mut Fleet),
    /// The least share of the large account's quota, or of its load if that is less, to be admitted.
    min_admitted: f64,
}

const USUAL: Case = Case {
    name: "usual load",
    nodes: 79,
    factor: 1.0,
    network: Network { loss: 0.0, duplication: 0.0 },
    refunds: 0.0,
    fault: |_| {},
    min_admitted: 0.99,
};

/// Nine times the usual load of the large account, with a fault.
fn flood(name: &'static str, min_admitted: f64, fault: fn(&mut Fleet)) -> Case {
    Case { name, factor: 9.0, fault, min_admitted, ..USUAL }
}

fn owners(fleet: &Fleet) -> Vec<usize> {
    let owners = owners_of(LARGE, &fleet.members, OWNERS_LIMIT);
    (0..fleet.members.len()).filter(|index| owners.contains(&member(*index).address)).collect()
}

fn run(case: &Case) -> Fleet {
    let mut fleet = Fleet::new(case.nodes, OPTIONS, &LIMITS, 7);
    (fleet.network, fleet.refunds) = (case.network, case.refunds);
    fleet.run(5_000, &loads(case.factor));
    (case.fault)(&mut fleet);
    fleet.run(25_000, &loads(case.factor));
    fleet
}

#[test]
fn bound_holds_and_quota_is_usable_under_faults() {
    let cases = [
        USUAL,
        flood("flood", 0.95, |_| {}),
        Case { nodes: 300, ..flood("300 nodes", 0.95, |_| {}) },
        Case { nodes: 2, ..flood("2 nodes", 0.95, |_| {}) },
        flood("an owner dead", 0.75, |fleet| fleet.stop(owners(fleet)[0])),
        flood("all owners dead", 0.0, |fleet| {
            owners(fleet).into_iter().for_each(|owner| fleet.stop(owner));
        }),
        flood("owners isolated singly", 0.0, |fleet| {
            let owners = owners(fleet).into_iter().enumerate();
            owners.for_each(|(group, owner)| fleet.groups[owner] = group + 1);
        }),
        flood("two halves", 0.9, |fleet| {
            (0..79).for_each(|index| fleet.groups[index] = index % 2);
        }),
        flood("a third without the store, removed from the list", 0.6, |fleet| {
            for index in (0..79).step_by(3) {
                fleet.groups[index] = 1;
                fleet.has_store[index] = false;
            }
            // The entries lapse after the lease.
            fleet.run(20_000, &loads(9.0));
            fleet.set_members(|index| index % 3 != 0, |index| index % 3 != 0);
        }),
        flood("a dead owner leaves the list", 0.9, |fleet| {
            let owner = owners(fleet)[0];
            fleet.stop(owner);
            // The list reaches the nodes one after the other.
            for index in 0..79 {
                fleet.set_members(|listed| listed != owner, |seeing| seeing == index);
                fleet.run(10, &loads(9.0));
            }
        }),
        flood("an owner joins and leaves again and again", 0.9, |fleet| {
            let owner = owners(fleet)[0];
            for _ in 0..4 {
                fleet.stop(owner);
                fleet.set_members(|listed| listed != owner, |_| true);
                fleet.run(9_000, &loads(9.0));
                fleet.start(owner);
                fleet.set_members(|_| true, |_| true);
                fleet.run(1_500, &loads(9.0));
            }
        }),
        Case {
            network: Network { loss: 0.02, duplication: 0.1 },
            refunds: 0.5,
            ..flood("refunds, losses and duplicates", 0.6, |_| {})
        },
        Case { network: Network { loss: 0.1, duplication: 0.0 }, ..flood("losses", 0.6, |_| {}) },
        Case {
            network: Network { loss: 0.0, duplication: 0.3 },
            ..flood("duplicates", 0.5, |_| {})
        },
        flood("restart of all nodes", 0.9, |fleet| (0..79).for_each(|index| fleet.start(index))),
        flood("restart of an owner each second", 0.8, |fleet| {
            for round in 0..15 {
                fleet.start(owners(fleet)[round % 5]);
                fleet.run(1_000, &loads(9.0));
            }
        }),
    ];
    for case in &cases {
        let fleet = run(case);
        let large = fleet.largest_window(LARGE, LARGE_LIMIT, 0);
        let small = fleet.largest_window(SMALL, SMALL_LIMIT, 0);
        let admitted = fleet.admitted_share(LARGE, LARGE_LIMIT, fleet.now_ms - 20_000);
        let messages = fleet.messages as f64 / fleet.requests.len() as f64;
        println!(
            "{}: window {large:.3} and {small:.3} of the bound, admitted {admitted:.3}, \
             {messages:.2} messages a request, outcomes {:?}",
            case.name,
            outcomes(&fleet),
        );
        assert!(large <= 1.0 && small <= 1.0, "{}: {large} {small}", case.name);
        assert!(admitted >= case.min_admitted, "{}: {admitted}", case.name);
        let pending = fleet.requests.iter().filter(|request| {
            request.outcome == Outcome::Pending && request.at_ms + 500 < fleet.now_ms
        });
        assert_eq!(pending.count(), 0, "{}: a request has no decision", case.name);
    }
}

/// Counts the requests by outcome.
fn outcomes(fleet: &Fleet) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for request in &fleet.requests {
        *counts.entry(request.outcome.name()).or_default() += 1;
    }
    counts
}

/// Guards against refusals within the quota: tokens held in leases must not be missing elsewhere.
#[test]
fn account_at_its_usual_load_is_not_refused() {
    let mut fleet = Fleet::new(79, OPTIONS, &LIMITS, 11);
    // The buckets begin empty.
    fleet.run(2_000, &[]);
    fleet.run(30_000, &loads(1.0));
    let outcomes = outcomes(&fleet);
    println!("{outcomes:?}");
    assert_eq!(outcomes.get("exceeded").or(outcomes.get("unreachable")), None);
}

/// Guards against a change of all owners because the entries of nodes lapsed with the store.
#[test]
fn list_that_is_rebuilt_after_an_outage_changes_no_owner() {
    let mut fleet = Fleet::new(79, OPTIONS, &LIMITS, 11);
    fleet.run(2_000, &[]);
    for listed in (0..80).step_by(2) {
        fleet.set_members(|index| index < listed, |_| true);
        fleet.run(100, &loads(1.0));
    }
    fleet.set_members(|_| true, |_| true);
    fleet.run(10_000, &loads(1.0));
    let outcomes = outcomes(&fleet);
    println!("{outcomes:?}");
    assert_eq!(outcomes.get("exceeded").or(outcomes.get("unreachable")), None);
}

#[test]
fn lower_rate_takes_effect_at_once() {
    let mut fleet = Fleet::new(79, OPTIONS, &LIMITS, 3);
    fleet.run(5_000, &loads(2.0));
    let lowered = limit(100_000);
    fleet.set_limits(&[(LARGE, lowered), (SMALL, SMALL_LIMIT)]);
    let changed_ms = fleet.now_ms;
    fleet.run(20_000, &loads(2.0));
    // Leases of the higher rate expire.
    let window = fleet.largest_window(LARGE, lowered, changed_ms + 400);
    println!("window {window:.3} of the bound");
    assert!(window <= 1.0);
}

#[test]
fn rare_and_large_requests_are_admitted() {
    #[derive(Clone, Copy)]
    struct Case {
        name: &'static str,
        options: QuotaOptions,
        limit: LimitSpec,
        tokens: u64,
        period_ms: u64,
        is_admitted: bool,
    }
    let without_slack = QuotaOptions { slack_tokens: 0, ..OPTIONS };
    let rare = Case {
        name: "one request in ten seconds",
        options: OPTIONS,
        limit: SMALL_LIMIT,
        tokens: 17_000,
        period_ms: 10_000,
        is_admitted: true,
    };
    // The parts of so small a burst would hold less than one request each.
    let few = Case { options: without_slack, tokens: 1, period_ms: 2_000, ..rare };
    let cases = [
        Case { name: "larger than the burst", tokens: 93_000, ..rare },
        Case { name: "larger, without slack", options: without_slack, tokens: 93_000, ..rare },
        Case { name: "larger than burst and debt", tokens: 200_000, is_admitted: false, ..rare },
        Case { name: "one request a second", limit: limit(1), ..few },
        Case { name: "four requests a second", limit: limit(4), ..few },
        rare,
    ];
    for case in cases {
        let mut fleet = Fleet::new(79, case.options, &[(SMALL, case.limit)], 5);
        fleet.run(10_000, &[]);
        for request in 0..6 {
            let id = fleet.request(13 * request, SMALL, case.tokens);
            fleet.run(case.period_ms, &[]);
            let is_admitted = matches!(fleet.requests[id].outcome, Outcome::Admitted { .. });
            assert_eq!(is_admitted, case.is_admitted, "{} {request}", case.name);
        }
        let window = fleet.largest_window(SMALL, case.limit, 0);
        println!("{}: window {window:.3} of the bound", case.name);
        assert!(window <= 1.0, "{}", case.name);
    }
}

#[test]
fn retry_after_the_stated_delay_succeeds() {
    let mut fleet = Fleet::new(79, OPTIONS, &[(SMALL, SMALL_LIMIT)], 5);
    for tokens in [9_000, 40_000, 93_000] {
        fleet.run(5_000, &[]);
        // More than burst and tolerance, in pieces that leave no more than one piece.
        for _ in 0..100 {
            fleet.request(1, SMALL, 2_000);
        }
        fleet.run(400, &[]);
        let refused = fleet.request(2, SMALL, tokens);
        fleet.run(100, &[]);
        let Outcome::Exceeded { at_ms, retry_after_ms } = fleet.requests[refused].outcome else {
            panic!("{tokens}: {:?}", fleet.requests[refused].outcome);
        };
        println!("{tokens}: {retry_after_ms} ms");
        fleet.run((at_ms + retry_after_ms).saturating_sub(fleet.now_ms), &[]);
        let repeated = fleet.request(3, SMALL, tokens);
        fleet.run(100, &[]);
        let outcome = fleet.requests[repeated].outcome;
        assert!(matches!(outcome, Outcome::Admitted { .. }), "{tokens}: {outcome:?}");
    }
}

/// Guards against traffic and refusals where nothing is configured.
#[test]
fn accounts_without_quota_are_admitted_without_messages() {
    let mut fleet = Fleet::new(79, OPTIONS, &[], 1);
    fleet.run(1_000, &loads(9.0));
    assert!(fleet.requests.iter().all(|r| matches!(r.outcome, Outcome::Admitted { .. })));
    assert_eq!(fleet.messages, 0);
}
