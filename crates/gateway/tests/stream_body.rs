//! How the body of a relayed stream ends, and what waits for its caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use redwingrill_gateway::forward::Body;
use redwingrill_gateway::forward::CALLER_LIMIT_BYTES;
use redwingrill_gateway::forward::CallerQueues;
use redwingrill_gateway::forward::QueueLabel;
use redwingrill_gateway::forward::StreamSender;
use redwingrill_gateway::forward::WholeAnswer;
use redwingrill_gateway::forward::stream_body;
use redwingrill_gateway::telemetry::Metrics;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::Framing;

fn queues(budget: &ByteBudget) -> CallerQueues {
    CallerQueues::new(budget, Metrics::new())
}

fn body_of(queues: &CallerQueues) -> (StreamSender, Body) {
    stream_body(queues, QueueLabel::default(), CancellationToken::new())
}

fn unlimited_body() -> (StreamSender, Body) {
    body_of(&queues(&ByteBudget::unlimited()))
}

fn whole() -> WholeAnswer {
    WholeAnswer::of_framing(Framing::Chunked).expect("a marked end")
}

async fn send_event(sender: &StreamSender) {
    sender.send(Bytes::from_static(b"data: a\n\n")).await.expect("the body is read");
}

/// Sends bytes without any wait.
async fn send_now(sender: &StreamSender, len: usize) {
    let sent = timeout(Duration::from_millis(500), sender.send(Bytes::from(vec![b'x'; len])));
    sent.await.expect("the sender does not wait").expect("the body is read");
}

#[tokio::test]
async fn completed_stream_ends_normally() {
    let (sender, body) = unlimited_body();
    send_event(&sender).await;
    sender.complete(whole());
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
        let (sender, mut body) = unlimited_body();
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
    let queues = queues(&budget);
    let mut idle = Vec::new();
    for _ in 0..100 {
        let (sender, body) = body_of(&queues);
        idle.push(body);
        tokio::spawn(async move {
            while sender.send(Bytes::from(vec![b'x'; 32 << 10])).await.is_ok() {}
        });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(budget.used_bytes() <= budget.limit_bytes());
    let (sender, mut body) = body_of(&queues);
    let sent = timeout(Duration::from_secs(1), send_event(&sender)).await;
    sent.expect("there is room for others");
    assert!(body.frame().await.expect("the event").expect("no error").is_data());
    // Those that are given up release what they held.
    drop(idle);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(budget.used_bytes(), 0);
}

/// An engine whose response stays unread cuts it, so the relay must not wait for its caller.
#[tokio::test]
async fn relay_waits_for_a_caller_that_reads_slowly() {
    for (events, len) in [(15, 70), (60, 420), (500, 420)] {
        let budget = ByteBudget::new(16 << 20);
        let queues = queues(&budget);
        let (sender, body) = body_of(&queues);
        for _ in 0..events {
            send_now(&sender, len).await;
        }
        sender.complete(whole());
        assert_eq!(queues.usage(), (1, events * len));
        let read = body.collect().await.expect("the stream is complete").to_bytes();
        assert_eq!(read.len(), events * len);
        drop(read);
        assert_eq!((budget.used_bytes(), queues.usage()), (0, (0, 0)));
    }
}

/// Bytes that the connection has taken and not written would not count.
#[tokio::test]
async fn bytes_that_are_being_written_are_not_counted() {
    let budget = ByteBudget::new(1 << 20);
    let (sender, mut body) = body_of(&queues(&budget));
    send_now(&sender, 10_000).await;
    let frame = body.frame().await.expect("the piece").expect("no error");
    assert_eq!(budget.used_bytes(), 10_000);
    drop(frame);
    assert_eq!(budget.used_bytes(), 0);
}

/// A caller that reads as fast as its engine sends is not slow, however much it is sent.
#[tokio::test]
async fn large_pieces_make_a_fast_caller_slow() {
    let budget = ByteBudget::new(16 << 20);
    let queues = queues(&budget);
    let (sender, mut body) = body_of(&queues);
    for _ in 0..4 {
        send_now(&sender, CALLER_LIMIT_BYTES * 4).await;
        let frame = body.frame().await.expect("the piece").expect("no error");
        assert_eq!(frame.data_ref().map(Bytes::len), Some(CALLER_LIMIT_BYTES * 4));
    }
    assert_eq!(queues.usage(), (0, 0));
}

/// The stream that is aborted must be the one that holds the most, and only this one.
#[tokio::test]
async fn exhausted_budget_aborts_small_streams() {
    let budget = ByteBudget::new(1 << 20);
    let metrics = Metrics::new();
    let queues = CallerQueues::new(&budget, metrics.clone());
    let connection = CancellationToken::new();
    let (large, mut large_body) = stream_body(&queues, QueueLabel::default(), connection.clone());
    for _ in 0..20 {
        send_now(&large, 10_000).await;
    }
    let mut small = Vec::new();
    while !large.is_aborted() {
        assert!(small.len() < 100, "nothing was aborted");
        let (sender, body) = body_of(&queues);
        for _ in 0..2 {
            send_now(&sender, 8_000).await;
        }
        small.push((sender, body));
    }
    assert!(connection.is_cancelled(), "its connection goes on");
    assert!(large.send(Bytes::from_static(b"x")).await.is_err());
    assert!(large_body.frame().await.is_some_and(|end| end.is_err()), "it looks complete");
    assert!(small.iter().all(|(sender, _)| !sender.is_aborted()));
    assert!(budget.used_bytes() <= budget.limit_bytes());
    let text = String::from_utf8(metrics.to_text()).expect("text");
    assert!(text.contains(r#"redwingrill_aborted_streams{cause="budget"} 1"#), "{text}");
}

struct FullQueueCase {
    name: &'static str,
    /// How much the caller reads each second.
    blocks_per_s: usize,
    is_aborted: bool,
}

/// A full queue holds up the upstream as long as the caller reads at all, and is aborted otherwise.
#[tokio::test(start_paused = true)]
async fn full_queue_grows_or_waits_without_end() {
    let cases = [
        FullQueueCase { name: "reads nothing", blocks_per_s: 0, is_aborted: true },
        FullQueueCase { name: "reads slowly", blocks_per_s: 1, is_aborted: false },
    ];
    for FullQueueCase { name, blocks_per_s, is_aborted } in cases {
        let budget = ByteBudget::new(16 << 20);
        let (sender, mut body) = body_of(&queues(&budget));
        let task = tokio::spawn(async move {
            for _ in 0..40 {
                if sender.send(Bytes::from(vec![b'x'; 10_000])).await.is_err() {
                    return sender.is_aborted();
                }
            }
            sender.complete(whole());
            false
        });
        let (mut is_broken, mut has_ended) = (false, false);
        for _ in 0..60 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            assert!(budget.used_bytes() <= CALLER_LIMIT_BYTES + (16 << 10), "{name}");
            for _ in 0..blocks_per_s {
                if !has_ended {
                    let frame = body.frame().await;
                    has_ended = frame.is_none();
                    is_broken |= frame.is_some_and(|frame| frame.is_err());
                }
            }
        }
        assert!(task.is_finished(), "{name}");
        assert_eq!((task.await.expect("no panic"), is_broken), (is_aborted, false), "{name}");
    }
}
