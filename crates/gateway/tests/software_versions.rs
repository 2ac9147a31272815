//! Tests of the dispatch task with requests that need a version of the software.

mod support;

use std::sync::Arc;

use support::options;
use support::request;
use support::view;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use redwingrill_gateway::dispatch::DispatchTask;
use redwingrill_gateway::dispatch::Purpose;
use redwingrill_gateway::telemetry::Metrics;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::Upstream;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;

fn version(name: &str) -> Option<SoftwareVersion> {
    Some(SoftwareVersion(name.to_owned()))
}

/// A continuation without an upstream must not cost what other requests need for their retries.
#[tokio::test]
async fn continuation_without_an_upstream_spends_the_retry_budget() {
    // More than the budget allows.
    const CONTINUATIONS: u64 = 200;
    let mut view = view(2);
    for engine in &mut view.upstreams {
        *engine = Arc::new(Upstream { software: version("v2"), ..Upstream::clone(engine) });
    }
    let (_view, receiver) = watch::channel(Arc::new(view));
    let (dispatcher, task) =
        DispatchTask::new(options(), receiver, Metrics::new(), mpsc::channel(1).0);
    let stopping = CancellationToken::new();
    let task = tokio::spawn(task.run(stopping.clone()));
    for purpose in [Purpose::First, Purpose::Retry, Purpose::Move] {
        for number in 0..CONTINUATIONS {
            let request =
                ScheduleRequest { software: version("v1"), ..request(number, Vec::new()) };
            let refused = dispatcher.choose(request, purpose).await;
            let (cause, _) = refused.expect_err("no engine runs the version");
            assert_eq!(cause, RefusalCause::NoUpstream, "{purpose:?} {number}");
        }
    }
    let other = ScheduleRequest { software: version("v2"), ..request(1, Vec::new()) };
    let attempt = dispatcher.choose(other, Purpose::Retry).await.expect("the budget is untouched");
    assert_eq!(attempt.assignment().upstream.software, version("v2"));
    drop(attempt);
    stopping.cancel();
    task.await.expect("the task does not panic");
}
