//! Tests of the limit by the memory of an engine, beyond which it crashes.

mod support;

use std::collections::HashMap;

use support::SERVICE;
use support::engines;
use support::expect_sent;
use support::prompt;
use support::request;
use support::scheduler;

use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::NodeLoad;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;

const MEMORY_TOKENS: u64 = 60_000;
const PEER_TOKENS: u32 = 25_000;

fn node() -> Scheduler {
    let mut node = scheduler(1);
    node.set_upstreams(engines(4, 1), 0);
    node.set_cache_tokens(vec![(SERVICE.to_owned(), MEMORY_TOKENS)]);
    node
}

/// Returns a request that reserves this many tokens.
fn request_of(tokens: u32, own: u64) -> ScheduleRequest {
    request(Some(prompt(&[(1, 90), (1_000_000 + own, tokens - 90 - 40)])), 0)
}

/// Guards against engines that crash because the requests assigned to them need more memory than
/// they have: short prompts were not counted, and a long one went to any engine below a share.
#[test]
fn assigned_requests_fit_into_the_memory_of_their_engine() {
    for tokens in [500, 2_000, 9_000, 21_000] {
        let mut node = node();
        // Another node's requests count, too.
        let load = NodeLoad { reserved_tokens: PEER_TOKENS, ..NodeLoad::default() };
        let upstreams = vec![(UpstreamTag::of("engine-0"), load)];
        let digest = LoadDigest { node: 9, sequence: 1, upstreams, ..LoadDigest::default() };
        node.observe_peer(digest, 0);
        let mut held = HashMap::from([("engine-0".to_owned(), u64::from(PEER_TOKENS))]);
        let mut sent = 0;
        for own in 0..1_000 {
            let Choice::Send(assignment) = node.choose(&request_of(tokens, own), 0) else { break };
            node.record_prefill_done(&assignment, 0);
            *held.entry(assignment.upstream.id.clone()).or_default() += assignment.reserved_tokens;
            sent += 1;
        }
        assert!(sent > 0, "{tokens}");
        assert!(held.values().all(|held| *held <= MEMORY_TOKENS), "{tokens}: {held:?}");
    }
}

/// Guards against a request that waits, or crashes an engine, although no engine can ever hold it.
#[test]
fn request_larger_than_an_engine_is_refused_at_once() {
    let limit = MEMORY_TOKENS as u32;
    expect_sent(node().choose(&request_of(limit, 0), 0));
    let Choice::Refuse { cause, .. } = node().choose(&request_of(limit + 1, 0), 0) else {
        panic!("a request that no engine can hold was not refused");
    };
    let expected =
        RefusalCause::TooLarge { tokens: MEMORY_TOKENS + 1, engine_tokens: MEMORY_TOKENS };
    assert_eq!(cause, expected);
    // Without a configured memory there is no limit.
    let mut unlimited = scheduler(1);
    unlimited.set_upstreams(engines(4, 1), 0);
    expect_sent(unlimited.choose(&request_of(limit + 1, 0), 0));
}
