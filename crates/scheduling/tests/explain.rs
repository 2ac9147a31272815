//! Tests of the explanation of decisions.

mod support;

use std::sync::Arc;

use support::count_prompt;
use support::engines;
use support::expect_sent;
use support::long_prompt;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::Closure;
use redwingrill_scheduling::scheduler::CapacityLimit;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Ineligibility;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Standing;
use redwingrill_scheduling::scheduler::WaitQueue;

fn upstream_of(choice: &Choice) -> Option<String> {
    match choice {
        Choice::Send(assignment) => Some(assignment.upstream.id.clone()),
        _ => None,
    }
}

/// Guards against explanations that differ from the decision, and against those that change later
/// decisions, for example by random numbers that they draw.
#[test]
fn an_explanation_is_the_next_decision_and_does_not_change_it() {
    let mut explained = scheduler(1);
    explained.set_upstreams(engines(9, 1), 0);
    let mut untouched = explained.clone();
    for number in 0..400 {
        let now_ms = number * 3;
        let prompt = match number % 4 {
            0 => long_prompt(number % 12, number),
            _ => short_prompt(number),
        };
        let request = request((number % 10 != 9).then_some(prompt), now_ms);
        for scheduler in [&mut explained, &mut untouched] {
            if request.prompt.is_some() {
                count_prompt(scheduler, &request, now_ms);
            }
        }
        let explanation = explained.explain(&request, false, now_ms);
        let choice = explained.choose(&request, now_ms);
        let expected = untouched.choose(&request, now_ms);
        assert_eq!(upstream_of(&choice), upstream_of(&expected), "request {number}");
        assert_eq!(upstream_of(&explanation.choice), upstream_of(&choice), "request {number}");
        if let Some(id) = upstream_of(&choice) {
            let chosen = explanation.upstreams.iter().find(|upstream| upstream.id == id);
            let standing = chosen.map(|upstream| upstream.standing);
            assert!(matches!(standing, Some(Standing::Candidate { is_compared: true, .. })));
        }
        // The prompts leave later, so that engines fill up and some requests find none.
        if let Choice::Send(assignment) = choice
            && number % 3 != 0
        {
            explained.record_prefill_done(&assignment, now_ms);
            untouched.record_prefill_done(&assignment, now_ms);
        }
    }
}

/// Guards against upstreams that are left out, or excluded for another reason than in the decision.
#[test]
fn the_reason_is_named_for_each_excluded_upstream() {
    let mut scheduler = scheduler(1);
    let mut listed = engines(4, 1);
    Arc::make_mut(&mut listed[1]).models.clear();
    Arc::make_mut(&mut listed[2]).slots = 1;
    scheduler.set_upstreams(listed, 0);
    scheduler.observe_target_version("m", WeightsVersion(1), 0);
    scheduler.set_loading(["engine-3".to_owned()].into_iter().collect());
    // A request whose prompt is prefilled takes the only slot of this engine.
    let others = scheduler.fleet().iter().filter(|(_, entry)| entry.upstream.id != "engine-2");
    let tried = others.map(|(index, _)| index).collect();
    let only = ScheduleRequest { tried, ..request(Some(short_prompt(0)), 0) };
    let assignment = expect_sent(scheduler.choose(&only, 0));
    scheduler.record_prefill_done(&assignment, 0);
    let explanation = scheduler.explain(&request(Some(short_prompt(1)), 0), false, 0);
    let standings: Vec<_> = explanation.upstreams.iter().map(|known| known.standing).collect();
    assert!(matches!(standings[0], Standing::Candidate { .. }), "{standings:?}");
    assert_eq!(standings[1], Standing::Ineligible(Ineligibility::Weights));
    assert_eq!(standings[2], Standing::Full(CapacityLimit::Slots));
    assert_eq!(standings[3], Standing::Ineligible(Ineligibility::Closed(Closure::LoadsWeights)));
}

/// Guards against an explanation that ignores the requests that wait for the same capacity.
#[test]
fn the_queue_decides_before_the_upstreams() {
    let mut scheduler = scheduler(1);
    let mut queue = WaitQueue::default();
    let waiting = request(Some(short_prompt(1)), 0);
    let explanation = queue.explain(&scheduler, &waiting, 0);
    assert!(matches!(explanation.choice, Choice::Refuse { .. }), "no upstream is known");
    let mut listed = engines(1, 1);
    Arc::make_mut(&mut listed[0]).slots = 1;
    scheduler.set_upstreams(listed, 0);
    for number in 0..3 {
        queue.enqueue(&mut scheduler, request(Some(short_prompt(number)), 0), number, 0);
    }
    let explanation = queue.explain(&scheduler, &waiting, 0);
    let known = explanation.queue.expect("there is a queue");
    assert!(matches!(explanation.choice, Choice::Wait), "{explanation:?}");
    assert_eq!((known.waiting, known.expected_wait_ms), (2, Some(0)));
    assert_eq!(queue.len(), 2);
}
