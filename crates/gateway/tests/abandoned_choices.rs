//! Choices whose request ends before it takes them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::options;
use support::request;
use support::view;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use redwingrill_gateway::dispatch::DispatchTask;
use redwingrill_gateway::dispatch::Purpose;
use redwingrill_gateway::telemetry::Metrics;

/// The caller leaves when the task has responded and the request has not run again.
#[tokio::test]
async fn assignment_on_its_way_to_a_caller_that_left_keeps_its_place() {
    let (_view, receiver) = watch::channel(Arc::new(view(1)));
    let (dispatcher, task) =
        DispatchTask::new(options(), receiver, Metrics::new(), mpsc::channel(1).0);
    let stopping = CancellationToken::new();
    let task = tokio::spawn(task.run(stopping.clone()));
    {
        let choice = dispatcher.choose(request(1, Vec::new()), Purpose::First);
        tokio::pin!(choice);
        assert!(futures::poll!(choice.as_mut()).is_pending());
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(dispatcher.loads().await["e0"].requests, 1);
    }
    assert_eq!(dispatcher.loads().await["e0"].requests, 0);
    stopping.cancel();
    task.await.expect("no panic");
}
