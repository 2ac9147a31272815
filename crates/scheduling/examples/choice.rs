//! Measures the choice of an engine: `cargo run --release -p redwingrill-scheduling --example choice`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use redwingrill_routing::AccountTag;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;
use redwingrill_scheduling::scheduler::AccountShare;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::SchedulerOptions;

const CHOICES: usize = 20_000;
const ACCOUNTS: usize = 10_000;

fn engines(count: usize) -> Vec<Arc<Upstream>> {
    let listed = (0..count).map(|index| {
        Arc::new(Upstream {
            id: format!("engine-{index}"),
            service: "llm".to_owned(),
            address: SocketAddr::from(([10, 0, 0, 1], 1 + index as u16)),
            failure_domain: format!("domain-{}", index % 5),
            slots: 12,
            state: UpstreamState::Ready,
            warm_up_remaining: Duration::ZERO,
            models: vec![("m".to_owned(), WeightsVersion(1))],
            started_unix_ms: None,
            software: None,
        })
    });
    listed.collect()
}

fn request(number: usize, now_ms: u64) -> ScheduleRequest {
    let is_long = number.is_multiple_of(6);
    let parts = match is_long {
        true => vec![(number as u64 % 500, 13_300), (1_000_000 + number as u64, 3_700)],
        false => vec![(1_000, 90), (1_000_000 + number as u64, 290)],
    };
    let parts: Vec<PromptPart> =
        parts.into_iter().map(|(id, tokens)| PromptPart { id: PartId(id), tokens }).collect();
    let prompt = DeclaredPrompt {
        model: "m".to_owned(),
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens_limit: 30,
        parts,
    };
    ScheduleRequest {
        service: "llm".to_owned(),
        route: RouteTag::of(if is_long { "long" } else { "short" }),
        prompt: Some(Arc::new(prompt)),
        audience: CacheAudience::default(),
        account: Some(AccountShare { tag: AccountTag((number % ACCOUNTS) as u64), weight: None }),
        urgency: if is_long { 2 } else { 0 },
        arrived_ms: now_ms,
        deadline_ms: now_ms + 10_000,
        target_ms: if is_long { 1_500 } else { 500 },
        leaves_ms: now_ms + 6_000,
        pause_target_ms: Some(500),
        origin_domain: None,
        tried: Vec::new(),
        software: None,
    }
}

fn main() {
    for count in [18, 79, 850] {
        let options = SchedulerOptions {
            node: "node".to_owned(),
            failure_domain: "domain-0".to_owned(),
            budget: RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
            version_limit_ms: 20_000,
            limits_concurrency: true,
            seed: 1,
        };
        let mut scheduler = Scheduler::new(options);
        scheduler.set_upstreams(engines(count), 0);
        scheduler.observe_target_version("m", WeightsVersion(1), 0);
        let mut took = Vec::with_capacity(CHOICES);
        for number in 0..CHOICES {
            let now_ms = number as u64 * 5;
            let request = request(number, now_ms);
            if let Some(prompt) = &request.prompt {
                scheduler.count_prompt("llm", request.route, prompt, request.target_ms, now_ms);
            }
            let begin = Instant::now();
            let choice = scheduler.choose(&request, now_ms);
            took.push(begin.elapsed());
            if let Choice::Send(assignment) = choice {
                scheduler.record_prefill_done(&assignment, now_ms + 100);
                scheduler.release_assignment(&assignment);
            }
        }
        took.sort_unstable();
        println!(
            "engines={count} median_us={:.1} p99_us={:.1}",
            took[CHOICES / 2].as_secs_f64() * 1e6,
            took[CHOICES * 99 / 100].as_secs_f64() * 1e6,
        );
    }
}
