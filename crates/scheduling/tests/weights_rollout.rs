//! Tests of weights versions: which engines may serve during a roll-out, and which node commands
//! them.

mod support;

use quickcheck::quickcheck;
use support::MODEL;
use support::VERSION_LIMIT_MS;
use support::engine;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::Era;
use redwingrill_routing::Revision;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::rollout::Claim;
use redwingrill_scheduling::rollout::CommandResult;
use redwingrill_scheduling::rollout::EngineWeights;
use redwingrill_scheduling::rollout::KeyHolder;
use redwingrill_scheduling::rollout::Leadership;
use redwingrill_scheduling::rollout::LoadPlan;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::weights::GraceRecord;
use redwingrill_scheduling::weights::GraceRecorder;
use redwingrill_scheduling::weights::record_lease_ms;

/// The clock at the start of the node, in milliseconds.
const START_MS: u64 = 100_000;

struct TargetCase {
    name: &'static str,
    /// Each target version and the time after the start at which it is set, in milliseconds.
    targets: &'static [(u64, u64)],
    at_ms: u64,
    is_sent: bool,
}

#[test]
fn older_version_expires_after_the_first_newer_target() {
    let cases = [
        TargetCase {
            name: "no newer target",
            targets: &[(1, 5_000)],
            at_ms: 90_000,
            is_sent: true,
        },
        TargetCase {
            name: "first target received, long after the start",
            targets: &[(2, 5_000)],
            at_ms: 18_000,
            is_sent: true,
        },
        TargetCase { name: "just superseded", targets: &[(2, 5_000)], at_ms: 6_000, is_sent: true },
        TargetCase {
            name: "long superseded",
            targets: &[(2, 5_000)],
            at_ms: 24_900,
            is_sent: false,
        },
        TargetCase {
            name: "most of the allowed time has passed, and a request would start in time",
            targets: &[(2, 5_000)],
            at_ms: 23_000,
            is_sent: true,
        },
        TargetCase {
            name: "another newer target does not restart the time",
            targets: &[(2, 5_000), (3, 15_000), (4, 24_000)],
            at_ms: 24_900,
            is_sent: false,
        },
    ];
    for case in cases {
        let mut scheduler = scheduler(1);
        scheduler.set_upstreams(vec![engine("e", 1)], START_MS);
        for (version, at_ms) in case.targets {
            scheduler.observe_target_version(MODEL, WeightsVersion(*version), START_MS + at_ms);
        }
        let now_ms = START_MS + case.at_ms;
        let choice = scheduler.choose(&request(Some(short_prompt(1)), now_ms), now_ms);
        assert_eq!(matches!(choice, Choice::Send(_)), case.is_sent, "{}", case.name);
    }
}

struct FoundCase {
    name: &'static str,
    /// When the grace record is first and last listed after the start, in milliseconds.
    record_ms: Option<(u64, u64)>,
    at_ms: u64,
    is_sent: bool,
}

#[test]
fn target_learned_late_is_as_old_as_its_grace_record_says() {
    let cases = [
        FoundCase { name: "no record", record_ms: None, at_ms: 100, is_sent: false },
        FoundCase { name: "no record, later", record_ms: None, at_ms: 9_000, is_sent: false },
        FoundCase { name: "record", record_ms: Some((0, 30_000)), at_ms: 9_000, is_sent: true },
        FoundCase {
            name: "record written after the start",
            record_ms: Some((400, 30_000)),
            at_ms: 9_000,
            is_sent: true,
        },
        FoundCase {
            name: "a record that never ends does not extend the limit",
            record_ms: Some((0, 30_000)),
            at_ms: 19_900,
            is_sent: false,
        },
        FoundCase {
            name: "record has just ended",
            record_ms: Some((0, 5_000)),
            at_ms: 5_500,
            is_sent: true,
        },
        FoundCase {
            name: "record ended as long ago as the limit leaves",
            record_ms: Some((0, 5_000)),
            at_ms: 8_900,
            is_sent: false,
        },
    ];
    let record = GraceRecord { previous: WeightsVersion(1), version: WeightsVersion(2) };
    for case in cases {
        let mut scheduler = scheduler(1);
        scheduler.set_upstreams(vec![engine("e", 1)], START_MS);
        assert!(scheduler.discover_target_version(MODEL, WeightsVersion(2), START_MS));
        for at_ms in (0..=case.at_ms).step_by(100) {
            let is_listed = case.record_ms.is_some_and(|(from, to)| (from..to).contains(&at_ms));
            let records = if is_listed { &[record][..] } else { &[] };
            scheduler.set_grace_records(MODEL, records, START_MS + at_ms);
        }
        let now_ms = START_MS + case.at_ms;
        let choice = scheduler.choose(&request(Some(short_prompt(1)), now_ms), now_ms);
        assert_eq!(matches!(choice, Choice::Send(_)), case.is_sent, "{}", case.name);
    }
}

#[test]
fn second_grace_record_of_a_version_does_not_revive_its_predecessors() {
    let mut scheduler = scheduler(1);
    scheduler.set_upstreams(vec![engine("e", 1)], START_MS);
    scheduler.discover_target_version(MODEL, WeightsVersion(2), START_MS);
    let record = GraceRecord { previous: WeightsVersion(1), version: WeightsVersion(2) };
    for (at_ms, records) in [(0, &[record][..]), (1_000, &[]), (2_000, &[record])] {
        scheduler.set_grace_records(MODEL, records, START_MS + at_ms);
    }
    let now_ms = START_MS + 6_000;
    let choice = scheduler.choose(&request(Some(short_prompt(1)), now_ms), now_ms);
    assert!(!matches!(choice, Choice::Send(_)));
}

#[test]
fn grace_record_of_a_later_target_does_not_revive_older_weights() {
    let mut scheduler = scheduler(1);
    scheduler.set_upstreams(vec![engine("e", 1)], START_MS);
    scheduler.discover_target_version(MODEL, WeightsVersion(3), START_MS);
    let record = GraceRecord { previous: WeightsVersion(2), version: WeightsVersion(3) };
    scheduler.set_grace_records(MODEL, &[record], START_MS);
    let choice = scheduler.choose(&request(Some(short_prompt(1)), START_MS), START_MS);
    assert!(!matches!(choice, Choice::Send(_)));
    scheduler.set_upstreams(vec![engine("f", 2)], START_MS);
    let choice = scheduler.choose(&request(Some(short_prompt(1)), START_MS), START_MS);
    assert!(matches!(choice, Choice::Send(_)));
}

quickcheck! {
    /// A node that is killed and started at any times never uses weights past the limit.
    fn restarts_never_extend_the_use_of_older_weights(starts_ms: Vec<u16>, sent_after_ms: u16) -> bool {
        let record = GraceRecord { previous: WeightsVersion(1), version: WeightsVersion(2) };
        let recorded_ms = record_lease_ms(VERSION_LIMIT_MS);
        starts_ms.iter().all(|start_ms| {
            // The version is published at START_MS, and the lease of its record begins then.
            let start_ms = u64::from(*start_ms);
            let sent_ms = start_ms + u64::from(sent_after_ms);
            let mut scheduler = scheduler(1);
            scheduler.set_upstreams(vec![engine("e", 1)], START_MS + start_ms);
            scheduler.discover_target_version(MODEL, WeightsVersion(2), START_MS + start_ms);
            for at_ms in (start_ms..=sent_ms).step_by(50) {
                let records = if at_ms < recorded_ms { &[record][..] } else { &[] };
                scheduler.set_grace_records(MODEL, records, START_MS + at_ms);
            }
            let now_ms = START_MS + sent_ms;
            let choice = scheduler.choose(&request(Some(short_prompt(1)), now_ms), now_ms);
            !matches!(choice, Choice::Send(_)) || sent_ms < VERSION_LIMIT_MS
        })
    }
}

#[test]
fn grace_record_is_written_by_the_next_node_if_the_first_fails() {
    const LIMIT_MS: u64 = 20_000;
    let mut recorder = GraceRecorder::new(LIMIT_MS);
    recorder.observe(MODEL, WeightsVersion(1), WeightsVersion(2), START_MS);
    // The node has the third turn.
    assert_eq!(recorder.next(3, START_MS + 700), None);
    let pending = recorder.next(3, START_MS + 800).expect("it is the node's turn");
    assert_eq!(pending.record.previous, WeightsVersion(1));
    assert_eq!(pending.lease_ms, record_lease_ms(LIMIT_MS) - 800);
    recorder.delay(MODEL, WeightsVersion(2), 3, START_MS + 800);
    assert_eq!(recorder.next(3, START_MS + 2_700), None);
    assert!(recorder.next(3, START_MS + 2_800).is_some());
    recorder.recorded(MODEL, WeightsVersion(2));
    assert!(!recorder.has_work());
    assert_eq!(recorder.next(3, START_MS + 2_900), None);
    // A store that comes back from a copy has lost the record; its lease ends when it would have.
    recorder.store_restored();
    let again = recorder.next(3, START_MS + 2_900).expect("the record is lost");
    assert_eq!((again.record, again.lease_ms), (pending.record, record_lease_ms(LIMIT_MS) - 2_900));
    recorder.recorded(MODEL, WeightsVersion(2));
    // A record that would be as old as its lease is not written.
    recorder.observe(MODEL, WeightsVersion(2), WeightsVersion(3), START_MS);
    assert_eq!(recorder.next(0, START_MS + record_lease_ms(LIMIT_MS)), None);
    assert!(!recorder.has_work());
}

fn engine_weights(id: &str, loaded_version: u64, load: u32) -> EngineWeights {
    EngineWeights {
        upstream_id: id.to_owned(),
        loaded_version: WeightsVersion(loaded_version),
        load,
        usable_ms: None,
    }
}

#[test]
fn engines_with_the_oldest_weights_load_first() {
    let engines =
        [engine_weights("a", 2, 0), engine_weights("b", 1, 20), engine_weights("c", 2, 0)];
    let (next, in_progress) = LoadPlan::default().next(&engines, WeightsVersion(3), 0);
    assert_eq!(next, ["b"]);
    assert!(in_progress.is_empty());
}

#[test]
fn concurrent_loads_are_limited_and_not_repeated() {
    struct Case {
        engines: usize,
        at_once: usize,
    }
    // Concurrent loads before each load takes longer, from the deployments' data sheets.
    let cases = [
        Case { engines: 1, at_once: 1 },
        Case { engines: 12, at_once: 2 },
        Case { engines: 18, at_once: 3 },
        Case { engines: 89, at_once: 17 },
    ];
    for Case { engines, at_once } in cases {
        let listed: Vec<_> = (0..engines).map(|n| engine_weights(&format!("e{n}"), 1, 0)).collect();
        let mut plan = LoadPlan::default();
        let (first, _) = plan.next(&listed, WeightsVersion(2), 0);
        assert_eq!(first.len(), at_once, "{engines} engines");
        for id in &first {
            plan.record_result(id, WeightsVersion(2), CommandResult::InProgress, 0);
        }
        let (second, in_progress) = plan.next(&listed, WeightsVersion(2), 1_000);
        assert!(second.is_empty(), "{engines} engines: {second:?}");
        assert_eq!(in_progress.len(), at_once, "{engines} engines");
    }
}

#[test]
fn engine_that_finishes_its_requests_does_not_hold_up_the_loads_of_others() {
    let engines = |load: u32, usable_ms: u64| -> Vec<EngineWeights> {
        let listed = (0..18).map(|n| EngineWeights {
            usable_ms: Some(usable_ms),
            ..engine_weights(&format!("e{n:02}"), 1, load)
        });
        listed.collect()
    };
    let mut plan = LoadPlan::default();
    let (first, _) = plan.next(&engines(5, 20_000), WeightsVersion(2), 0);
    assert_eq!(first.len(), 3);
    for id in &first {
        plan.record_result(id, WeightsVersion(2), CommandResult::InProgress, 0);
    }
    // The commanded engines finish their streams, and the weights of the others expire soon.
    let (second, _) = plan.next(&engines(5, 9_000), WeightsVersion(2), 200);
    assert_eq!(second.len(), 3, "{second:?}");
    // With enough time, or once the first ones load, the others wait.
    let (none, _) = plan.next(&engines(5, 20_000), WeightsVersion(2), 200);
    assert!(none.is_empty(), "{none:?}");
    let (none, _) = plan.next(&engines(0, 9_000), WeightsVersion(2), 200);
    assert!(none.is_empty(), "{none:?}");
}

#[test]
fn engines_are_loaded_before_their_older_weights_expire() {
    // 14 engines that finish streams before they load, 3 s in all, and 10 s until the weights
    // expire.
    const LOAD_MS: u64 = 3_000;
    const USABLE_MS: u64 = 10_000;
    let mut plan = LoadPlan::default();
    let mut commanded_ms: Vec<Option<u64>> = vec![None; 14];
    for now_ms in (0..USABLE_MS).step_by(150) {
        let engines: Vec<EngineWeights> = (0..commanded_ms.len())
            .map(|n| {
                let since_ms = commanded_ms[n].map(|at_ms| now_ms - at_ms);
                let loaded_version = if since_ms.is_some_and(|ms| ms >= LOAD_MS) { 2 } else { 1 };
                let load = if since_ms.is_some_and(|ms| ms >= LOAD_MS / 2) { 0 } else { 4 };
                EngineWeights {
                    usable_ms: Some(USABLE_MS - now_ms),
                    ..engine_weights(&format!("e{n:02}"), loaded_version, load)
                }
            })
            .collect();
        let (next, in_progress) = plan.next(&engines, WeightsVersion(2), now_ms);
        assert!(next.len() + in_progress.len() <= 7, "half of the engines stay in service");
        for id in next {
            let n: usize = id[1..].parse().expect("identity ends with a number");
            commanded_ms[n] = Some(now_ms);
            plan.record_result(&id, WeightsVersion(2), CommandResult::InProgress, now_ms);
        }
    }
    let loaded = commanded_ms.iter().flatten().filter(|at_ms| **at_ms + LOAD_MS <= USABLE_MS);
    assert!(loaded.count() >= 12, "loaded in time: {commanded_ms:?}");
}

#[test]
fn engine_that_does_not_respond_leaves_its_place_to_others() {
    let engines: Vec<EngineWeights> =
        (0..10).map(|n| engine_weights(&format!("e{n}"), 1, if n < 4 { 0 } else { 3 })).collect();
    let mut plan = LoadPlan::default();
    let mut reached = 0;
    for round in 0..4 {
        let (next, _) = plan.next(&engines, WeightsVersion(2), round * 1_000);
        for id in &next {
            // The first four are dark; their lost requests make them look idle.
            let is_dark = id.as_str() < "e4";
            reached += usize::from(!is_dark);
            let result =
                if is_dark { CommandResult::RetryLater } else { CommandResult::InProgress };
            plan.record_result(id, WeightsVersion(2), result, round * 1_000);
        }
    }
    assert!(reached >= 2, "{reached} engines commanded in four rounds");
}

#[test]
fn lost_command_is_sent_again() {
    let engines = [engine_weights("a", 1, 0)];
    let mut plan = LoadPlan::default();
    plan.record_result("a", WeightsVersion(2), CommandResult::InProgress, 0);
    assert!(plan.next(&engines, WeightsVersion(2), 8_000).0.is_empty());
    assert_eq!(plan.next(&engines, WeightsVersion(2), 9_000).0, ["a"]);
}

#[test]
fn superseded_version_is_not_commanded() {
    let mut plan = LoadPlan::default();
    plan.record_result("a", WeightsVersion(2), CommandResult::InProgress, 0);
    // The engine loads version 2 until it lists it; then version 3 is commanded at once.
    let (next, in_progress) = plan.next(&[engine_weights("a", 1, 0)], WeightsVersion(3), 100);
    assert_eq!((next.len(), in_progress.len()), (0, 1));
    assert_eq!(plan.next(&[engine_weights("a", 2, 0)], WeightsVersion(3), 3_000).0, ["a"]);
    plan.record_result("a", WeightsVersion(3), CommandResult::AlreadyLoaded, 3_100);
    assert!(!plan.has_work(&[engine_weights("a", 2, 0)], WeightsVersion(3)));
}

const LEASE_MS: u64 = 3_000;

#[test]
fn new_leader_waits_for_the_previous_lease_to_expire() {
    let mut leadership = Leadership::new(LEASE_MS, 10_000);
    assert_eq!(leadership.claim(true, KeyHolder::Nobody, 0, 10_100), Claim::Now);
    leadership.acquired(Revision::from_u64(7), 10_100);
    assert_eq!(leadership.active_fencing_number(10_200), None);
    assert_eq!(leadership.active_fencing_number(12_000), None);
    leadership.renewed(12_900);
    assert_eq!(leadership.active_fencing_number(13_000), Some(7));
}

#[test]
fn leader_stops_before_its_lease_expires() {
    let mut leadership = Leadership::new(LEASE_MS, 0);
    leadership.acquired(Revision::from_u64(7), 10_000);
    assert_eq!(leadership.active_fencing_number(12_000), Some(7));
    assert_eq!(leadership.active_fencing_number(12_100), None);
    leadership.renewed(12_200);
    assert_eq!(leadership.active_fencing_number(14_000), Some(7));
    leadership.observe_other_leader(14_100);
    assert_eq!(leadership.active_fencing_number(14_100), None);
}

#[test]
fn nodes_claim_in_order_of_rank() {
    let mut leadership = Leadership::new(LEASE_MS, 0);
    assert_eq!(leadership.claim(true, KeyHolder::Nobody, 3, 5_000), Claim::NotYet);
    assert_eq!(leadership.claim(true, KeyHolder::Nobody, 3, 5_700), Claim::NotYet);
    assert_eq!(leadership.claim(true, KeyHolder::Nobody, 3, 5_800), Claim::Now);
    assert_eq!(leadership.claim(true, KeyHolder::OtherInstance, 3, 5_900), Claim::NotYet);
    assert_eq!(leadership.claim(true, KeyHolder::Nobody, 3, 6_000), Claim::NotYet);
}

#[test]
fn leader_that_lost_its_lease_waits_for_who_may_have_led_since() {
    let mut leadership = Leadership::new(LEASE_MS, 0);
    leadership.acquired(Revision::from_u64(7), 10_000);
    assert_eq!(leadership.active_fencing_number(10_100), Some(7));
    // The node was suspended; another one has led and ended without this node's notice.
    leadership.lost(15_400);
    leadership.acquired(Revision::from_u64(9), 15_500);
    leadership.renewed(18_000);
    assert_eq!(leadership.active_fencing_number(18_300), None);
    assert_eq!(leadership.active_fencing_number(18_400), Some(9));
}

/// The store comes back from a copy while the node leads, or just before it claims.
#[test]
fn leader_of_a_lost_era_does_not_wait_for_who_led_since() {
    let revision = |era, number| Revision::new(Era(era), number).expect("a small revision");
    let mut leader = Leadership::new(LEASE_MS, 0);
    leader.observe_era(Era(1), 0);
    leader.acquired(revision(1, 90), 10_000);
    let lost = leader.active_fencing_number(10_100).expect("it leads");
    assert!(leader.observe_era(Era(2), 10_500));
    assert_eq!(leader.active_fencing_number(10_500), None);
    leader.acquired(revision(2, 70), 10_600);
    leader.renewed(10_400 + LEASE_MS);
    assert_eq!(leader.active_fencing_number(10_499 + LEASE_MS), None);
    assert!(leader.active_fencing_number(10_500 + LEASE_MS).is_some_and(|fence| fence > lost));

    // A claim may be the first that the node hears of the era; its view follows later.
    let mut claims_first = Leadership::new(LEASE_MS, 0);
    claims_first.observe_era(Era(1), 0);
    claims_first.acquired(revision(2, 70), 10_000);
    assert_eq!(claims_first.active_fencing_number(10_000), None);
    assert!(!claims_first.observe_era(Era(2), 10_300));
    assert!(!claims_first.observe_era(Era(1), 10_400));
    claims_first.renewed(9_900 + LEASE_MS);
    assert!(claims_first.active_fencing_number(10_000 + LEASE_MS).is_some());
}

#[test]
fn restarted_leader_does_not_wait_for_its_own_lease() {
    // The last of ten nodes in the order of claims.
    let mut leadership = Leadership::new(LEASE_MS, 10_000);
    assert_eq!(leadership.claim(false, KeyHolder::ThisInstance, 9, 10_100), Claim::NotYet);
    assert_eq!(leadership.claim(true, KeyHolder::OtherInstance, 9, 10_100), Claim::NotYet);
    assert_eq!(leadership.claim(true, KeyHolder::ThisInstance, 9, 10_100), Claim::TakeOver);
    leadership.taken_over(Revision::from_u64(8), 10_100);
    assert_eq!(leadership.active_fencing_number(10_110), Some(8));
    assert_eq!(leadership.claim(true, KeyHolder::ThisInstance, 9, 10_200), Claim::NotYet);
    leadership.observe_other_leader(10_300);
    assert_eq!(leadership.active_fencing_number(10_300), None);
}

quickcheck! {
    /// The second of two nodes acquires the key after the lease of the first expired at the store.
    /// Their commands are at least one lease duration apart.
    fn consecutive_leaders_never_command_within_one_lease(renewed_ms: u16, acquire_delay_ms: u16) -> bool {
        let renewed_ms = 10_000 + u64::from(renewed_ms);
        let mut first = Leadership::new(LEASE_MS, 0);
        first.acquired(Revision::from_u64(1), 10_000);
        first.renewed(renewed_ms);
        let last_order_ms = (10_000..renewed_ms + 2 * LEASE_MS)
            .rev()
            .find(|&at_ms| first.active_fencing_number(at_ms).is_some())
            .expect("first leader was active");
        // The store counts the lease from a later time than the leader.
        let expired_ms = renewed_ms + LEASE_MS;
        let acquired_ms = expired_ms + u64::from(acquire_delay_ms % 1_000);
        let mut second = Leadership::new(LEASE_MS, 0);
        second.observe_other_leader(expired_ms);
        second.acquired(Revision::from_u64(2), acquired_ms);
        second.renewed(acquired_ms + LEASE_MS);
        let first_order_ms = (acquired_ms..acquired_ms + 3 * LEASE_MS)
            .find(|&at_ms| second.active_fencing_number(at_ms).is_some())
            .expect("second leader becomes active");
        first_order_ms >= last_order_ms + LEASE_MS
    }
}
