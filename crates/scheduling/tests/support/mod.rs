//! Fixtures of the scheduler tests.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

pub mod batching;
pub mod replay;

use std::sync::Arc;
use std::time::Duration;

use redwingrill_routing::CacheAudience;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::SchedulerOptions;

pub const MODEL: &str = "m";
pub const SERVICE: &str = "llm";
pub const SLOTS: u32 = 32;
pub const VERSION_LIMIT_MS: u64 = 20_000;

pub fn scheduler(seed: u64) -> Scheduler {
    let options = SchedulerOptions {
        node: format!("node-{seed}"),
        failure_domain: "a".to_owned(),
        budget: RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
        version_limit_ms: VERSION_LIMIT_MS,
        limits_concurrency: false,
        seed,
    };
    Scheduler::new(options)
}

pub fn engine(id: &str, version: u64) -> Arc<Upstream> {
    let last = id.bytes().fold(1u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    Arc::new(Upstream {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: std::net::SocketAddr::from(([10, 0, 0, last], 80)),
        failure_domain: "a".to_owned(),
        slots: SLOTS,
        state: UpstreamState::Ready,
        warm_up_remaining: Duration::ZERO,
        models: vec![(MODEL.to_owned(), WeightsVersion(version))],
        started_unix_ms: None,
        software: None,
    })
}

pub fn engines(count: usize, version: u64) -> Vec<Arc<Upstream>> {
    (0..count).map(|index| engine(&format!("engine-{index}"), version)).collect()
}

/// Returns a short prompt, whose shared prefix is too short to look up.
pub fn short_prompt(own: u64) -> DeclaredPrompt {
    prompt(&[(1, 90), (1_000_000 + own, 290)])
}

/// Returns a long prompt whose first part is the shared document with this number.
pub fn long_prompt(document: u64, own: u64) -> DeclaredPrompt {
    prompt(&[(document, 13_300), (2_000_000 + own, 3_720)])
}

/// Returns a prompt of parts, each given by its identifier and tokens.
pub fn prompt(parts: &[(u64, u32)]) -> DeclaredPrompt {
    let parts = parts.iter().map(|&(id, tokens)| PromptPart { id: PartId(id), tokens });
    let parts: Vec<PromptPart> = parts.collect();
    DeclaredPrompt {
        model: MODEL.to_owned(),
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens_limit: 40,
        parts,
    }
}

pub fn request(prompt: Option<DeclaredPrompt>, arrived_ms: u64) -> ScheduleRequest {
    let is_long = prompt.as_ref().is_some_and(|prompt| prompt.prompt_tokens > 2_048);
    ScheduleRequest {
        service: SERVICE.to_owned(),
        route: route(is_long),
        prompt: prompt.map(Arc::new),
        audience: CacheAudience::default(),
        account: None,
        urgency: if is_long { 2 } else { 0 },
        arrived_ms,
        deadline_ms: arrived_ms + if is_long { 12_000 } else { 5_000 },
        target_ms: if is_long { 1_500 } else { 500 },
        leaves_ms: arrived_ms + if is_long { 12_000 } else { 5_000 },
        pause_target_ms: None,
        origin_domain: None,
        tried: Vec::new(),
        software: None,
    }
}

/// Returns the route of long or short prompts.
pub fn route(is_long: bool) -> RouteTag {
    RouteTag::of(if is_long { "long" } else { "short" })
}

pub fn expect_sent(choice: Choice) -> Assignment {
    match choice {
        Choice::Send(assignment) => *assignment,
        other => panic!("not sent: {other:?}"),
    }
}

/// Counts the arrival of a request's prompt.
pub fn count_prompt(scheduler: &mut Scheduler, request: &ScheduleRequest, now_ms: u64) {
    let prompt = request.prompt.as_deref().expect("request has a prompt");
    scheduler.count_prompt(&request.service, request.route, prompt, request.target_ms, now_ms);
}
