//! What the end of an attempt says about the parts of its prompt.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::options;
use support::request;
use support::view;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use redwingrill_gateway::dispatch::Attempt;
use redwingrill_gateway::dispatch::DispatchTask;
use redwingrill_gateway::dispatch::Dispatcher;
use redwingrill_gateway::dispatch::Purpose;
use redwingrill_gateway::telemetry::Metrics;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::RefusalCause;

/// Longer than the gap between generations, and than the time in which other nodes may answer.
const GENERATION: Duration = Duration::from_millis(300);
const HEARING: Duration = Duration::from_millis(900);

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
        let (dispatcher, task) =
            DispatchTask::new(options(), receiver, Metrics::new(), mpsc::channel(1).0);
        let stopping = CancellationToken::new();
        let task = tokio::spawn(task.run(stopping.clone()));
        let mut requests = Requests { dispatcher, tried: Vec::new(), sent: 0 };
        requests.send_and_break().await;
        requests.send_and_break().await;
        let mut answered = requests.send().await.expect("an engine is free");
        if !case.is_framed {
            answered.mark_inconclusive();
        }
        answered.end(Verdict::Served);
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
