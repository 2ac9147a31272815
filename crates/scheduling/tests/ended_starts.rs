//! Tests of the evidence that a listed start of an upstream has ended.

mod support;

use std::sync::Arc;

use support::MODEL;
use support::engine;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::StatedUpstream;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Scheduler;

struct AnswerCase {
    name: &'static str,
    expected_version: Option<u64>,
    answered_id: Option<&'static str>,
    answered_version: Option<u64>,
    misdirection: Misdirection,
}

#[test]
fn engine_with_other_weights_counts_as_gone() {
    let cases = [
        AnswerCase {
            name: "names another upstream",
            expected_version: Some(1),
            answered_id: Some("engine-2"),
            answered_version: Some(2),
            misdirection: Misdirection::Ended,
        },
        AnswerCase {
            name: "names the expected upstream",
            expected_version: Some(1),
            answered_id: Some("engine-1"),
            answered_version: None,
            misdirection: Misdirection::OtherWeights,
        },
        AnswerCase {
            name: "has the expected weights",
            expected_version: Some(1),
            answered_id: None,
            answered_version: Some(1),
            misdirection: Misdirection::Ended,
        },
        AnswerCase {
            name: "has other weights",
            expected_version: Some(1),
            answered_id: None,
            answered_version: Some(2),
            misdirection: Misdirection::Unknown,
        },
        AnswerCase {
            name: "states nothing",
            expected_version: Some(1),
            answered_id: None,
            answered_version: None,
            misdirection: Misdirection::Unknown,
        },
        AnswerCase {
            name: "no weights were expected",
            expected_version: None,
            answered_id: None,
            answered_version: None,
            misdirection: Misdirection::Ended,
        },
    ];
    for case in cases {
        let expected = StatedUpstream {
            id: Some("engine-1"),
            version: case.expected_version.map(WeightsVersion),
        };
        let answered = StatedUpstream {
            id: case.answered_id,
            version: case.answered_version.map(WeightsVersion),
        };
        assert_eq!(Misdirection::of(expected, answered), case.misdirection, "{}", case.name);
    }
}

fn node(seed: u64, listed: Vec<Arc<Upstream>>) -> Scheduler {
    let mut scheduler = scheduler(seed);
    scheduler.set_upstreams(listed, 0);
    scheduler.observe_target_version(MODEL, WeightsVersion(1), 0);
    scheduler
}

/// Returns the only engine's next assignment, if it gets one.
fn is_used(scheduler: &mut Scheduler, now_ms: u64) -> bool {
    let choice = scheduler.choose(&request(Some(short_prompt(now_ms)), now_ms), now_ms);
    matches!(choice, Choice::Send(_))
}

const OTHER_ANSWERED: AttemptOutcome =
    AttemptOutcome { verdict: Verdict::Unknown, misdirection: Some(Misdirection::Ended) };
const NO_LISTENER: AttemptOutcome =
    AttemptOutcome { verdict: Verdict::NoListener, misdirection: None };

fn end(scheduler: &mut Scheduler, id: &str, outcome: &AttemptOutcome, now_ms: u64) {
    let index = scheduler.fleet().by_tag(UpstreamTag::of(id)).expect("engine is listed");
    scheduler.record_attempt_end(index, 0, 0, outcome, now_ms);
}

#[test]
fn node_goes_on_with_an_engine_that_another_node_found_gone() {
    let listed = vec![engine("engine-1", 1)];
    let (mut one, mut other) = (node(1, listed.clone()), node(2, listed));
    end(&mut one, "engine-1", &OTHER_ANSWERED, 1_000);
    let digest: LoadDigest = one.digest(1, 1_100);
    assert_eq!(other.observe_peer(digest.clone(), 1_110).len(), 1, "it is news");
    assert!(other.observe_peer(digest, 1_120).is_empty(), "it is no news any more");
    for now_ms in (1_200..9_000).step_by(600) {
        assert!(!is_used(&mut one, now_ms) && !is_used(&mut other, now_ms), "{now_ms}");
    }
    // It starts again under its name and at its address.
    let again = Upstream { started_unix_ms: Some(7), ..Upstream::clone(&engine("engine-1", 1)) };
    other.set_upstreams(vec![Arc::new(again)], 9_000);
    assert!(is_used(&mut other, 9_001), "another start is another matter");
}

#[test]
fn node_connects_to_an_engine_where_another_node_found_no_listener() {
    let listed = vec![engine("engine-1", 1), engine("engine-2", 1)];
    let (mut one, mut other) = (node(1, listed.clone()), node(2, listed));
    end(&mut one, "engine-1", &NO_LISTENER, 1_000);
    other.observe_peer(one.digest(1, 1_100), 1_110);
    for now_ms in (1_120..2_000).step_by(20) {
        let choice = other.choose(&request(Some(short_prompt(now_ms)), now_ms), now_ms);
        let Choice::Send(assignment) = choice else { continue };
        assert_eq!(assignment.upstream.id, "engine-2", "{now_ms}");
    }
}

#[test]
fn wrong_evidence_takes_an_engine_away_for_good() {
    let mut node = node(1, vec![engine("engine-1", 1)]);
    end(&mut node, "engine-1", &OTHER_ANSWERED, 1_000);
    assert!(!is_used(&mut node, 8_000));
    assert!(is_used(&mut node, 11_001));
}

/// Returns an engine that was listed earlier and one that was listed later at the same address.
fn two_at_one_address() -> Vec<Arc<Upstream>> {
    let listed = [("engine-old", 1_000), ("engine-new", 2_000)].map(|(id, started_unix_ms)| {
        let started_unix_ms = Some(started_unix_ms);
        let address = std::net::SocketAddr::from(([10, 0, 0, 1], 80));
        Arc::new(Upstream { address, started_unix_ms, ..Upstream::clone(&engine(id, 1)) })
    });
    listed.to_vec()
}

fn used_engine(scheduler: &mut Scheduler, now_ms: u64) -> String {
    let choice = scheduler.choose(&request(Some(short_prompt(now_ms)), now_ms), now_ms);
    support::expect_sent(choice).upstream.id.clone()
}

#[test]
fn stale_entry_is_believed_over_a_newer_one_at_its_address() {
    let mut node = node(1, two_at_one_address());
    for now_ms in 0..20 {
        assert_eq!(used_engine(&mut node, now_ms), "engine-new");
    }
}

#[test]
fn false_entry_takes_the_engine_at_its_address_away() {
    let mut node = node(1, two_at_one_address());
    assert_eq!(used_engine(&mut node, 1_000), "engine-new");
    end(&mut node, "engine-new", &OTHER_ANSWERED, 1_001);
    assert_eq!(used_engine(&mut node, 1_002), "engine-old");
}
