//! What the end of an attempt says about the parts of its prompt.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use redwingrill_gateway::cluster_view::ClusterView;
use redwingrill_gateway::dispatch::Attempt;
use redwingrill_gateway::dispatch::DispatchTask;
use redwingrill_gateway::dispatch::Dispatcher;
use redwingrill_gateway::dispatch::Purpose;
use redwingrill_gateway::telemetry::Metrics;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::SchedulerOptions;

/// Longer than the gap between generations, and than the time in which other nodes may answer.
const GENERATION: Duration = Duration::from_millis(300);
const HEARING: Duration = Duration::from_millis(900);

fn view(engines: u16) -> ClusterView {
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
        })
    });
    ClusterView { upstreams: upstreams.collect(), ..ClusterView::default() }
}

fn request(own_part: u64, tried: Vec<UpstreamIndex>) -> ScheduleRequest {
    let part = |id| PromptPart { id: PartId(id), tokens: 100 };
    let now_ms = redwingrill_gateway::clock::now_ms();
    ScheduleRequest {
        service: "llm".to_owned(),
        prompt: Some(Arc::new(DeclaredPrompt {
            model: "m".to_owned(),
            prompt_tokens: 200,
            output_tokens_limit: 10,
            parts: vec![part(7), part(own_part)],
        })),
        isolated_account: None,
        urgency: 1,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 5_000,
        target_ms: 500,
        leaves_ms: now_ms + 5_000,
        pause_target_ms: None,
        origin_domain: None,
        tried,
    }
}

struct Requests {
    dispatcher: Dispatcher,
    tried: Vec<UpstreamIndex>,
    sent: u64,
}

impl Requests {
    /// Sends a request with the part to an engine that had none before.
    async fn send(&mut self) -> Result<Attempt, RefusalCause> {
        self.sent += 1;
        let request = request(100 + self.sent, self.tried.clone());
        let attempt = self.dispatcher.choose(request, Purpose::First).await;
        let attempt = attempt.map_err(|(cause, _)| cause)?;
        self.tried.push(attempt.assignment().index);
        Ok(attempt)
    }

    async fn send_and_break(&mut self) {
        let attempt = self.send().await.expect("an engine is free");
        tokio::time::sleep(Duration::from_millis(20)).await;
        attempt.end_broken();
        tokio::time::sleep(GENERATION).await;
    }
}

struct Case {
    is_framed: bool,
    is_quarantined: bool,
}

/// An answer with neither a length nor chunks looks complete if its engine ends between two events.
#[tokio::test]
async fn answer_that_ends_with_its_engine_clears_the_part_that_crashed_it() {
    let cases = [
        Case { is_framed: true, is_quarantined: false },
        Case { is_framed: false, is_quarantined: true },
    ];
    for case in cases {
        let (_view, receiver) = watch::channel(Arc::new(view(8)));
        let options = SchedulerOptions {
            node: "n1".to_owned(),
            failure_domain: "a".to_owned(),
            budget: RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
            version_limit_ms: 20_000,
            seed: 1,
        };
        let (dispatcher, task) =
            DispatchTask::new(options, receiver, Metrics::new(), mpsc::channel(1).0);
        let stopping = CancellationToken::new();
        let task = tokio::spawn(task.run(stopping.clone()));
        let mut requests = Requests { dispatcher, tried: Vec::new(), sent: 0 };
        requests.send_and_break().await;
        requests.send_and_break().await;
        let mut answered = requests.send().await.expect("an engine is free");
        if !case.is_framed {
            answered.mark_inconclusive();
        }
        answered.end(Verdict::Served, false);
        requests.send_and_break().await;
        tokio::time::sleep(HEARING).await;
        let next = requests.send().await;
        let is_quarantined = matches!(next, Err(RefusalCause::Quarantined(_)));
        assert_eq!(is_quarantined, case.is_quarantined, "is_framed: {}", case.is_framed);
        drop(next);
        stopping.cancel();
        task.await.expect("no panic");
    }
}
