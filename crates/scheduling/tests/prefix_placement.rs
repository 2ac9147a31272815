//! Where long prefixes go, by what the node and its peers sent before.

mod support;

use support::ask;
use support::engines;
use support::long_prompt;
use support::scheduler;
use support::sent;

use redwingrill_routing::CacheChange;
use redwingrill_routing::PartId;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Scheduler;

const STORE: ([u8; 4], u16) = ([10, 1, 0, 1], 80);

fn node(seed: u64) -> Scheduler {
    let mut scheduler = scheduler(seed);
    scheduler.set_upstreams(engines(18, 1), 0);
    scheduler.set_cache_store(Some(STORE.into()));
    scheduler.set_cache_store_subscription(Some(1));
    scheduler
}

#[test]
fn a_prefix_that_another_node_just_sent_goes_to_the_same_engine() {
    for book in 0..20 {
        let (mut first, mut second) = (node(1), node(2));
        let home = sent(first.choose(&ask(Some(long_prompt(book, 0)), 0), 0)).upstream;
        second.observe_peer(first.digest(1, 10), 10);
        let other = sent(second.choose(&ask(Some(long_prompt(book, 9)), 20), 20));
        assert_eq!(other.upstream.id, home.id, "book {book}");
        assert!(
            other.pending_prefill_tokens < 4_000,
            "it waits for the reading and finds the prefix"
        );
        assert_eq!(other.fetch_from, None);
    }
}

#[test]
fn a_prefix_in_the_cache_store_is_fetched_and_not_saved_again() {
    let mut node = node(1);
    let change = CacheChange { scope: "w1".to_owned(), part: PartId(5), tokens: 13_300 };
    node.apply_cache_store_changes(vec![change], 0);
    let assignment = sent(node.choose(&ask(Some(long_prompt(5, 0)), 0), 0));
    assert_eq!(assignment.fetch_from, Some(STORE.into()));
    assert_eq!(assignment.save_to, None);
    assert!(assignment.pending_prefill_tokens < 4_000);
}

#[test]
fn a_prefix_is_saved_once() {
    let mut node = node(1);
    let first = sent(node.choose(&ask(Some(long_prompt(5, 0)), 0), 0));
    let second = sent(node.choose(&ask(Some(long_prompt(5, 1)), 10), 10));
    assert_eq!(first.save_to, Some(STORE.into()));
    assert_eq!(second.save_to, None);
    // The event of the store never came.
    let third = sent(node.choose(&ask(Some(long_prompt(5, 2)), 9_000), 9_000));
    assert_eq!(third.save_to, Some(STORE.into()));
}

#[test]
fn a_silent_cache_store_is_neither_asked_nor_filled() {
    let mut node = node(1);
    node.set_cache_store_subscription(None);
    let assignment = sent(node.choose(&ask(Some(long_prompt(5, 0)), 0), 0));
    assert_eq!((assignment.fetch_from, assignment.save_to), (None, None));
}

#[test]
fn an_isolated_account_shares_no_prefix() {
    let mut node = node(1);
    let change = CacheChange { scope: "w1".to_owned(), part: PartId(5), tokens: 13_300 };
    node.apply_cache_store_changes(vec![change], 0);
    let mut ask = ask(Some(long_prompt(5, 0)), 0);
    ask.isolated_account = Some("account".to_owned());
    let assignment = sent(node.choose(&ask, 0));
    assert_ne!(assignment.scope.map(|scope| scope.0), Some("w1".to_owned()));
    assert_eq!(assignment.fetch_from, None);
}

#[test]
fn an_engine_keeps_room_for_prefixes_beside_its_running_prompts() {
    let mut node = scheduler(1);
    node.set_upstreams(engines(2, 1), 0);
    node.set_cache_tokens(vec![(support::SERVICE.to_owned(), 172_000)]);
    // Each prompt holds 17 thousand tokens until its answer has ended, long after it was read.
    let mut sent_now = 0;
    for own in 0..20 {
        let Choice::Send(assignment) = node.choose(&ask(Some(long_prompt(5, own)), 0), 0) else {
            break;
        };
        node.record_prefill_done(&assignment, 0);
        sent_now += 1;
    }
    assert_eq!(sent_now, 7, "60 in 100 of the memory of the one engine that long prompts have");
}

#[test]
fn a_node_that_does_not_hear_the_store_is_told_what_it_holds() {
    let mut hearing = node(1);
    let change = CacheChange { scope: "w1".to_owned(), part: PartId(5), tokens: 13_300 };
    hearing.apply_cache_store_changes(vec![change], 100);
    let mut told = scheduler(2);
    told.set_upstreams(engines(18, 1), 0);
    told.set_cache_store(Some(STORE.into()));
    told.observe_peer(hearing.digest(1, 200), 200);
    let assignment = sent(told.choose(&ask(Some(long_prompt(5, 0)), 300), 300));
    assert_eq!((assignment.fetch_from, assignment.save_to), (Some(STORE.into()), None));
    // A store that started anew holds nothing.
    hearing.set_cache_store_subscription(Some(2));
    told.observe_peer(hearing.digest(1, 400), 400);
    let assignment = sent(told.choose(&ask(Some(long_prompt(6, 0)), 500), 500));
    assert_eq!((assignment.fetch_from, assignment.save_to), (None, Some(STORE.into())));
    // After a while of silence it is neither asked nor filled.
    let assignment = sent(told.choose(&ask(Some(long_prompt(7, 0)), 9_000), 9_000));
    assert_eq!((assignment.fetch_from, assignment.save_to), (None, None));
}
