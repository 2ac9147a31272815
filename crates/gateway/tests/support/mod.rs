//! What the tests of the dispatch task share.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::sync::Arc;
use std::time::Duration;

use redwingrill_gateway::cluster_view::ClusterView;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::SchedulerOptions;

/// Returns the options of a node.
pub fn options() -> SchedulerOptions {
    SchedulerOptions {
        node: "n1".to_owned(),
        failure_domain: "a".to_owned(),
        budget: RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
        version_limit_ms: 20_000,
        limits_concurrency: false,
        seed: 1,
    }
}

/// Returns a view with some engines of 8 slots, `e0` and so on.
pub fn view(engines: u16) -> ClusterView {
    let upstreams = (0..engines).map(|n| {
        Arc::new(Upstream {
            id: format!("e{n}"),
            service: "llm".to_owned(),
            address: ([127, 0, 0, 1], 1_000 + n).into(),
            failure_domain: "a".to_owned(),
            slots: 8,
            state: UpstreamState::Ready,
            warm_up_remaining: Duration::ZERO,
            models: vec![("m".to_owned(), WeightsVersion(1))],
            started_unix_ms: None,
            software: None,
        })
    });
    ClusterView { upstreams: upstreams.collect(), ..ClusterView::default() }
}

/// Returns a request with two parts, one of them its own.
pub fn request(own_part: u64, tried: Vec<UpstreamIndex>) -> ScheduleRequest {
    let part = |id| PromptPart { id: PartId(id), tokens: 100 };
    let now_ms = redwingrill_gateway::clock::now_ms();
    ScheduleRequest {
        service: "llm".to_owned(),
        route: RouteTag::of("chat"),
        prompt: Some(Arc::new(DeclaredPrompt {
            model: "m".to_owned(),
            prompt_tokens: 200,
            output_tokens_limit: 10,
            parts: vec![part(7), part(own_part)],
        })),
        audience: CacheAudience::default(),
        account: None,
        urgency: 1,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 5_000,
        target_ms: 500,
        leaves_ms: now_ms + 5_000,
        pause_target_ms: None,
        origin_domain: None,
        tried,
        software: None,
    }
}
