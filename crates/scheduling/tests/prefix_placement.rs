//! Placement of long prefixes after earlier requests of this node and its peers.

mod support;

use support::engines;
use support::expect_sent;
use support::long_prompt;
use support::request;
use support::scheduler;

use redwingrill_routing::CacheAudience;
use redwingrill_routing::CacheChange;
use redwingrill_routing::PartId;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Scheduler;

const STORE: ([u8; 4], u16) = ([10, 1, 0, 1], 80);

fn node(seed: u64) -> Scheduler {
    let mut scheduler = scheduler(seed);
    scheduler.set_upstreams(engines(18, 1), 0);
    scheduler.set_cache_store(Some(STORE.into()));
    scheduler.set_cache_store_epoch(Some(1));
    scheduler
}

#[test]
fn prefix_recently_sent_by_a_peer_goes_to_the_same_engine() {
    for document in 0..20 {
        let (mut first, mut second) = (node(1), node(2));
        let first_engine =
            expect_sent(first.choose(&request(Some(long_prompt(document, 0)), 0), 0)).upstream;
        second.observe_peer(first.digest(1, 10), 10);
        let other = expect_sent(second.choose(&request(Some(long_prompt(document, 9)), 20), 20));
        assert_eq!(other.upstream.id, first_engine.id, "document {document}");
        assert!(other.pending_prefill_tokens < 4_000, "the shared prefix is not prefilled again");
        assert_eq!(other.fetch_from, None);
    }
}

#[test]
fn prefix_in_the_cache_store_is_fetched_and_not_saved_again() {
    let mut node = node(1);
    let change = CacheChange { scope: "w1".to_owned(), part: PartId(5), tokens: 13_300 };
    node.apply_cache_store_changes(vec![change], 0);
    let assignment = expect_sent(node.choose(&request(Some(long_prompt(5, 0)), 0), 0));
    assert_eq!(assignment.fetch_from, Some(STORE.into()));
    assert_eq!(assignment.save_to, None);
    assert!(assignment.pending_prefill_tokens < 4_000);
}

#[test]
fn prefix_is_saved_once_while_the_save_is_pending() {
    let mut node = node(1);
    let first = expect_sent(node.choose(&request(Some(long_prompt(5, 0)), 0), 0));
    let second = expect_sent(node.choose(&request(Some(long_prompt(5, 1)), 10), 10));
    assert_eq!(first.save_to, Some(STORE.into()));
    assert_eq!(second.save_to, None);
    // The event of the store did not arrive.
    let third = expect_sent(node.choose(&request(Some(long_prompt(5, 2)), 9_000), 9_000));
    assert_eq!(third.save_to, Some(STORE.into()));
}

#[test]
fn unavailable_cache_store_is_not_used() {
    let mut node = node(1);
    node.set_cache_store_epoch(None);
    let assignment = expect_sent(node.choose(&request(Some(long_prompt(5, 0)), 0), 0));
    assert_eq!((assignment.fetch_from, assignment.save_to), (None, None));
}

#[test]
fn isolated_account_shares_no_prefix() {
    let mut node = node(1);
    let change = CacheChange { scope: "w1".to_owned(), part: PartId(5), tokens: 13_300 };
    node.apply_cache_store_changes(vec![change], 0);
    let mut request = request(Some(long_prompt(5, 0)), 0);
    request.audience = CacheAudience::only("account");
    let assignment = expect_sent(node.choose(&request, 0));
    assert_ne!(assignment.scope.map(|scope| scope.0), Some("w1".to_owned()));
    assert_eq!(assignment.fetch_from, None);
}

#[test]
fn running_prompts_leave_engine_memory_for_cached_prefixes() {
    let mut node = scheduler(1);
    node.set_upstreams(engines(2, 1), 0);
    node.set_cache_tokens(vec![(support::SERVICE.to_owned(), 172_000)]);
    // Each prompt reserves 17,000 tokens until its response ends, long after its prefill.
    let mut sent_count = 0;
    for own in 0..20 {
        let Choice::Send(assignment) = node.choose(&request(Some(long_prompt(5, own)), 0), 0)
        else {
            break;
        };
        node.record_prefill_done(&assignment, 0);
        sent_count += 1;
    }
    assert_eq!(sent_count, 7, "60% of the memory of the only engine for long prompts");
}

#[test]
fn node_without_subscription_learns_stored_parts_from_peers() {
    let mut subscribed = node(1);
    let change = CacheChange { scope: "w1".to_owned(), part: PartId(5), tokens: 13_300 };
    subscribed.apply_cache_store_changes(vec![change], 100);
    let mut unsubscribed = scheduler(2);
    unsubscribed.set_upstreams(engines(18, 1), 0);
    unsubscribed.set_cache_store(Some(STORE.into()));
    unsubscribed.observe_peer(subscribed.digest(1, 200), 200);
    let assignment = expect_sent(unsubscribed.choose(&request(Some(long_prompt(5, 0)), 300), 300));
    assert_eq!((assignment.fetch_from, assignment.save_to), (Some(STORE.into()), None));
    // A restarted store is empty.
    subscribed.set_cache_store_epoch(Some(2));
    unsubscribed.observe_peer(subscribed.digest(1, 400), 400);
    let assignment = expect_sent(unsubscribed.choose(&request(Some(long_prompt(6, 0)), 500), 500));
    assert_eq!((assignment.fetch_from, assignment.save_to), (None, Some(STORE.into())));
    // Without recent reports the store is not used.
    let assignment =
        expect_sent(unsubscribed.choose(&request(Some(long_prompt(7, 0)), 9_000), 9_000));
    assert_eq!((assignment.fetch_from, assignment.save_to), (None, None));
}
