//! How the body of a relayed stream ends.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;

use redwingrill_gateway::forward::StreamSender;
use redwingrill_gateway::forward::WholeAnswer;
use redwingrill_gateway::forward::stream_body;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::Framing;

async fn send_event(sender: &StreamSender) {
    sender.send(Bytes::from_static(b"data: a\n\n")).await.expect("the body is read");
}

#[tokio::test]
async fn completed_stream_ends_normally() {
    let (sender, body) = stream_body(&ByteBudget::unlimited());
    send_event(&sender).await;
    sender.complete(WholeAnswer::of_framing(Framing::Chunked).expect("a marked end"));
    let body = body.collect().await.expect("the stream is complete");
    assert_eq!(body.to_bytes(), "data: a\n\n");
}

/// How a task that feeds a stream may end without completing it.
#[derive(Clone, Copy, Debug)]
enum TaskEnd {
    Returns,
    Panics,
    IsCancelled,
}

#[tokio::test]
async fn stream_of_a_task_that_ends_early_looks_complete() {
    for task_end in [TaskEnd::Returns, TaskEnd::Panics, TaskEnd::IsCancelled] {
        let (sender, mut body) = stream_body(&ByteBudget::unlimited());
        let task = tokio::spawn(async move {
            send_event(&sender).await;
            match task_end {
                TaskEnd::Returns => {}
                TaskEnd::Panics => panic!("a fault of the task"),
                TaskEnd::IsCancelled => std::future::pending::<()>().await,
            }
        });
        let event = body.frame().await.expect("the event").expect("no error yet");
        assert!(event.is_data());
        task.abort();
        let end = body.frame().await;
        assert!(end.is_some_and(|end| end.is_err()), "{task_end:?}");
    }
}

/// A caller that reads nothing holds its share of the buffers, and the others go on.
#[tokio::test]
async fn callers_that_read_nothing_fill_the_buffers() {
    let budget = ByteBudget::new(1 << 20);
    let mut idle = Vec::new();
    for _ in 0..100 {
        let (sender, body) = stream_body(&budget);
        idle.push(body);
        tokio::spawn(async move {
            while sender.send(Bytes::from(vec![b'x'; 32 << 10])).await.is_ok() {}
        });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(budget.used_bytes() <= budget.limit_bytes());
    let (sender, mut body) = stream_body(&budget);
    let sent = tokio::time::timeout(Duration::from_secs(1), send_event(&sender)).await;
    sent.expect("there is room for others");
    assert!(body.frame().await.expect("the event").expect("no error").is_data());
    // Those that are given up release what they held.
    drop(idle);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(budget.used_bytes(), 0);
}
