//! Tests of the wait queue while no engine has a free slot.

mod support;

use support::MODEL;
use support::count_prompt;
use support::engines;
use support::prompt;
use support::request;
use support::scheduler;

use redwingrill_routing::AccountTag;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::AccountShare;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::WaitQueue;

const TARGET_MS: u64 = 2_000;
const DISPATCH_PERIOD_MS: u64 = 5;
const AVERAGE_OWN_TOKENS: u32 = 3_720;

/// Returns a request with a shared document and `own_tokens` of its own.
fn long_request(own_tokens: u32, arrived_ms: u64) -> ScheduleRequest {
    let prompt = prompt(&[(1, 13_300), (1_000_000 + arrived_ms, own_tokens)]);
    ScheduleRequest { target_ms: TARGET_MS, ..request(Some(prompt), arrived_ms) }
}

/// A scheduler with one fully occupied engine, which has seen prompts of the route before.
struct FullEngine {
    scheduler: Scheduler,
    running: Vec<Assignment>,
}

impl FullEngine {
    fn new() -> Self {
        let mut scheduler = scheduler(1);
        scheduler.observe_target_version(MODEL, WeightsVersion(1), 0);
        scheduler.set_upstreams(engines(1, 1), 0);
        let request = long_request(AVERAGE_OWN_TOKENS, 0);
        (0..200).for_each(|_| count_prompt(&mut scheduler, &request, 0));
        let mut full = Self { scheduler, running: Vec::new() };
        while let Choice::Send(assignment) = full.scheduler.choose(&request, 0) {
            full.start(*assignment, 0);
        }
        full
    }

    fn start(&mut self, assignment: Assignment, now_ms: u64) {
        self.scheduler.record_prefill_done(&assignment, now_ms);
        self.running.push(assignment);
    }

    fn free_slot(&mut self, now_ms: u64) {
        let ended = self.running.pop().expect("a request runs");
        let outcome = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
        let (index, reserved) = (ended.index, ended.reserved_tokens);
        self.scheduler.record_attempt_end(index, 0, reserved, &outcome, now_ms);
    }
}

#[test]
fn large_prompt_is_overtaken_by_smaller_ones() {
    for now_ms in (20..TARGET_MS).step_by(DISPATCH_PERIOD_MS as usize) {
        let mut engine = FullEngine::new();
        let mut queue: WaitQueue<&str> = WaitQueue::default();
        for (name, own_tokens) in [("large", 120_000), ("small", 100)] {
            let request = long_request(own_tokens, 10);
            count_prompt(&mut engine.scheduler, &request, 10);
            let decided = queue.enqueue(&mut engine.scheduler, request, name, 10);
            assert!(decided.is_empty(), "{name} does not wait: {decided:?}");
        }
        engine.free_slot(now_ms);
        let decided = queue.dispatch(&mut engine.scheduler, now_ms, |_| false);
        let sent = decided.iter().find(|(_, choice)| matches!(choice, Choice::Send(_)));
        assert!(sent.is_none_or(|(name, _)| *name == "large"), "small passes at {now_ms} ms");
    }
}

#[test]
fn late_requests_wait_in_vain_until_their_wait_expires() {
    const FREE_SLOT_PERIOD_MS: u64 = 40;
    const ARRIVALS_PER_SLOT: usize = 3;
    let mut engine = FullEngine::new();
    let mut queue: WaitQueue<u64> = WaitQueue::default();
    let mut refused_after_ms = Vec::new();
    for now_ms in (10..12_000).step_by(DISPATCH_PERIOD_MS as usize) {
        let mut decided = Vec::new();
        if now_ms % FREE_SLOT_PERIOD_MS < DISPATCH_PERIOD_MS {
            engine.free_slot(now_ms);
            for _ in 0..ARRIVALS_PER_SLOT {
                let request = long_request(AVERAGE_OWN_TOKENS, now_ms);
                count_prompt(&mut engine.scheduler, &request, now_ms);
                decided.extend(queue.enqueue(&mut engine.scheduler, request, now_ms, now_ms));
            }
        }
        decided.extend(queue.dispatch(&mut engine.scheduler, now_ms, |_| false));
        for (arrived_ms, choice) in decided {
            match choice {
                Choice::Send(assignment) => engine.start(*assignment, now_ms),
                Choice::Refuse { .. } => refused_after_ms.push(now_ms - arrived_ms),
                Choice::Wait => unreachable!("a waiting request has no decision"),
            }
        }
    }
    refused_after_ms.sort_unstable();
    let most_ms = refused_after_ms[refused_after_ms.len() * 9 / 10];
    assert!(most_ms < TARGET_MS, "nine in ten refusals come within {most_ms} ms of the arrival");
}

#[test]
fn full_queue_refuses_an_account_within_its_share() {
    const FLOOD: usize = 130;
    let mut engine = FullEngine::new();
    let mut queue: WaitQueue<(&str, usize)> = WaitQueue::default();
    let mut enqueue = |name: &'static str, number: usize| {
        let account = AccountShare { tag: AccountTag::of(name), weight: Some(1) };
        let request = long_request(AVERAGE_OWN_TOKENS, 10);
        let request = ScheduleRequest { account: Some(account), ..request };
        queue.enqueue(&mut engine.scheduler, request, (name, number), 10)
    };
    let refused = |decided: &[((&'static str, usize), Choice)]| -> Vec<(&'static str, usize)> {
        decided.iter().map(|(handle, _)| *handle).collect()
    };
    let first = enqueue("small", 0);
    assert!(first.is_empty(), "the queue is empty before: {first:?}");
    let dropped: Vec<_> =
        (0..FLOOD).flat_map(|number| refused(&enqueue("large", number))).collect();
    assert!(!dropped.is_empty(), "the queue is not full");
    assert!(dropped.iter().all(|(name, _)| *name == "large"), "dropped: {dropped:?}");
    // The newest of the large account gives way.
    let (_, newest) = dropped.iter().max_by_key(|(_, number)| number).expect("some are dropped");
    assert_eq!(*newest, FLOOD - 1, "older requests of the account are dropped");
    let second = refused(&enqueue("small", 1));
    assert!(second.iter().all(|(name, _)| *name == "large"), "dropped: {second:?}");
    assert_eq!(second.len(), 1, "a request of the large account gives way");
}
