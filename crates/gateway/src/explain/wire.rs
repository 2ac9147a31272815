//! The explanation of the scheduler in the form in which it is sent.

use crate::dispatch::DecisionView;
use redwingrill_explain::CoordinatorAnswer;
use redwingrill_explain::CostComponent;
use redwingrill_explain::DecisionAnswer;
use redwingrill_explain::ExplainQuery;
use redwingrill_explain::Outcome;
use redwingrill_explain::QueueAnswer;
use redwingrill_explain::QuotaAnswer;
use redwingrill_explain::ServiceAnswer;
use redwingrill_explain::Standing as AnswerStanding;
use redwingrill_explain::UpstreamAnswer;
use redwingrill_explain::rounded_ms;
use redwingrill_routing::AccountQuota;
use redwingrill_routing::QuotaUnit;
use redwingrill_scheduling::coordination::PlannedInquiry;
use redwingrill_scheduling::fleet::Closure;
use redwingrill_scheduling::scheduler::CapacityLimit;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Ineligibility;
use redwingrill_scheduling::scheduler::QueueExplanation;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::Standing;
use redwingrill_scheduling::scheduler::UpstreamCost;
use redwingrill_scheduling::scheduler::UpstreamExplanation;

/// Returns the answer for one service of a route with its share of the requests.
pub(super) fn service_answer(
    service: &str,
    share: f64,
    has_prompt: bool,
    view: &DecisionView,
) -> ServiceAnswer {
    let explanation = &view.explanation;
    ServiceAnswer {
        service: service.to_owned(),
        share,
        is_long: has_prompt.then_some(explanation.is_long),
        is_late: explanation.is_late,
        coordinator: view
            .inquiry
            .as_ref()
            .map(|known| coordinator_answer(known, view.is_coordinator)),
        decision: decision_answer(&explanation.choice),
        queue: explanation.queue.map(queue_answer),
        noise_ms: rounded_ms(explanation.noise_ms),
        upstreams: explanation.upstreams.iter().map(upstream_answer).collect(),
    }
}

/// Returns a quota, and what a request costs of it.
pub(super) fn quota_answer(quota: AccountQuota, query: &ExplainQuery) -> QuotaAnswer {
    let declared = query.prompt_tokens().map(|prompt_tokens| {
        u64::from(prompt_tokens) + u64::from(query.output_tokens.unwrap_or_default())
    });
    let (unit, cost) = match quota.unit {
        QuotaUnit::Requests => ("requests", 1),
        QuotaUnit::Tokens { undeclared_tokens } => {
            ("tokens", declared.unwrap_or(undeclared_tokens))
        }
    };
    QuotaAnswer {
        rate_per_s: quota.rate_per_s,
        burst: Some(quota.burst),
        unit: unit.to_owned(),
        cost,
        available: None,
    }
}

fn coordinator_answer(inquiry: &PlannedInquiry, is_this_node: bool) -> CoordinatorAnswer {
    CoordinatorAnswer {
        node: inquiry.coordinator_name.clone(),
        address: inquiry.coordinator,
        is_this_node,
        group: format!("{:016x}", inquiry.group.0),
        engines: inquiry.engines,
        groups: inquiry.groups,
        failure_domain: inquiry.failure_domain.clone(),
    }
}

fn decision_answer(choice: &Choice) -> DecisionAnswer {
    let decision =
        |outcome| DecisionAnswer { outcome, upstream: None, reason: None, retry_after_ms: None };
    match choice {
        Choice::Send(assignment) => DecisionAnswer {
            upstream: Some(assignment.upstream.id.clone()),
            ..decision(Outcome::Send)
        },
        Choice::Wait => decision(Outcome::Wait),
        Choice::Refuse { cause, retry_after_ms } => DecisionAnswer {
            reason: Some(refusal_reason(cause)),
            retry_after_ms: Some(*retry_after_ms),
            ..decision(Outcome::Refuse)
        },
    }
}

fn refusal_reason(cause: &RefusalCause) -> String {
    match cause {
        RefusalCause::NoUpstream => "no upstream".to_owned(),
        RefusalCause::Overloaded(_) => "overloaded".to_owned(),
        RefusalCause::RepeatBudget => "retry budget spent".to_owned(),
        RefusalCause::Stopping => "the node is stopping".to_owned(),
        RefusalCause::Quarantined(part) => format!("part {part} is quarantined"),
        RefusalCause::TooLarge { tokens, engine_tokens } => {
            format!("{tokens} tokens do not fit into the {engine_tokens} of an engine")
        }
    }
}

fn queue_answer(queue: QueueExplanation) -> QueueAnswer {
    QueueAnswer {
        waiting: queue.waiting,
        limit: queue.limit,
        expected_wait_ms: queue.expected_wait_ms,
        wait_limit_ms: Some(queue.wait_limit_ms),
    }
}

fn upstream_answer(upstream: &UpstreamExplanation) -> UpstreamAnswer {
    let (standing, reason, cost) = match upstream.standing {
        Standing::Ineligible(reason) => {
            (AnswerStanding::Ineligible, Some(ineligibility_name(reason)), None)
        }
        Standing::Full(limit) => (AnswerStanding::Full, Some(limit_name(limit)), None),
        Standing::Candidate { cost, is_compared: true } => {
            (AnswerStanding::Compared, None, Some(cost))
        }
        Standing::Candidate { cost, is_compared: false } => {
            (AnswerStanding::Passed, None, Some(cost))
        }
    };
    let marks = [
        ("prefix", upstream.has_prefix),
        ("preferred", upstream.is_preferred),
        ("for short prompts", upstream.is_for_short),
    ];
    let marks = marks.into_iter().filter(|(_, is_set)| *is_set);
    UpstreamAnswer {
        id: upstream.id.clone(),
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        standing,
        reason: reason.map(str::to_owned),
        costs: cost.map(cost_components).unwrap_or_default(),
        cost_ms: cost.map(|cost| rounded_ms(cost.total_ms())),
        load: Some(upstream.load),
        slots: Some(upstream.slots),
        pending_prefill_ms: Some(rounded_ms(upstream.pending_prefill_ms)),
        reserved_tokens: Some(upstream.reserved_tokens),
        weights_version: upstream.version.map(|version| version.0),
        time_factor: Some(rounded_ms(upstream.time_factor)),
        marks: marks.map(|(name, _)| name.to_owned()).collect(),
    }
}

fn cost_components(cost: UpstreamCost) -> Vec<CostComponent> {
    let components = [("base", cost.base_ms), ("prompt", cost.prompt_ms), ("load", cost.load_ms)];
    let components = components
        .into_iter()
        .map(|(name, ms)| CostComponent { name: name.to_owned(), ms: rounded_ms(ms) });
    components.collect()
}

fn ineligibility_name(reason: Ineligibility) -> &'static str {
    match reason {
        Ineligibility::Tried => "tried before",
        Ineligibility::Software => "software",
        Ineligibility::Closed(Closure::NotReady) => "not ready",
        Ineligibility::Closed(Closure::LoadsWeights) => "loads weights",
        Ineligibility::Closed(Closure::Paused) => "paused or leaving",
        Ineligibility::Closed(Closure::Skipped) => "refused a moment ago",
        Ineligibility::Closed(Closure::Ended) => "process ended",
        Ineligibility::Closed(Closure::Superseded) => "superseded by a later start",
        Ineligibility::Connections => "connections",
        Ineligibility::Weights => "weights",
        Ineligibility::Health => "health",
    }
}

fn limit_name(limit: CapacityLimit) -> &'static str {
    match limit {
        CapacityLimit::Rate => "rate",
        CapacityLimit::Role => "role",
        CapacityLimit::Speed => "slow",
        CapacityLimit::Prefill => "prefill",
        CapacityLimit::Slots => "slots",
        CapacityLimit::Memory => "memory",
    }
}
