//! The body of a stream that a task feeds.
//!
//! Invariants:
//! - The body ends normally only after [`StreamSender::complete`], which takes the evidence that the
//!   upstream's stream is whole. A task that ends otherwise, by an abort, a panic or a cancellation,
//!   breaks the stream off.
//! - A caller that reads slowly does not hold up the task until [`CALLER_LIMIT_BYTES`] wait for it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use snafu::Snafu;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::caller_queue::AbortCause;
use super::caller_queue::CallerQueue;
use super::caller_queue::CallerQueues;
use super::caller_queue::QueueLabel;
use super::response::Body;
use super::response::StreamAborted;
use super::whole_answer::WholeAnswer;

/// What may wait for one caller, ten times the largest usual stream. Beyond it, the upstream is read
/// only as fast as the caller reads.
pub const CALLER_LIMIT_BYTES: usize = 256 << 10;

/// How long a caller whose queue is full may read nothing. An upstream cuts a response that stays
/// unread for some seconds.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a piece waits before it tries again to get room in the buffers.
const ROOM_POLL_PERIOD: Duration = Duration::from_millis(20);

/// The caller closed its connection, or its stream was aborted because it read too slowly.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("the caller left or its stream was aborted"))]
pub struct CallerLeft;

/// Feeds the body of a stream. Dropping it breaks the stream off.
#[derive(Debug)]
pub struct StreamSender {
    queue: Arc<CallerQueue>,
    closed: CancellationToken,
    is_complete: Arc<AtomicBool>,
    // Cancelled on drop.
    ended: CancellationToken,
}

impl StreamSender {
    /// Queues a piece. Waits only while the caller's queue is full, or while the budget of all
    /// queues is exhausted.
    ///
    /// # Errors
    ///
    /// [`CallerLeft`] if nobody reads the body any more.
    pub async fn send(&self, piece: Bytes) -> Result<(), CallerLeft> {
        self.wait_for_queue(piece.len()).await?;
        while self.queue.push(&piece).is_err() {
            if timeout(ROOM_POLL_PERIOD, self.closed()).await.is_ok() {
                return Err(CallerLeft);
            }
        }
        Ok(())
    }

    /// Waits until a piece fits into the queue. A piece always fits into an empty one.
    async fn wait_for_queue(&self, len: usize) -> Result<(), CallerLeft> {
        loop {
            let held_bytes = self.queue.held_bytes();
            if self.closed.is_cancelled() || self.queue.is_aborted() {
                return Err(CallerLeft);
            }
            if held_bytes == 0 || held_bytes + len <= CALLER_LIMIT_BYTES {
                return Ok(());
            }
            tokio::select! {
                () = self.closed() => return Err(CallerLeft),
                released = timeout(FULL_QUEUE_TIMEOUT, self.queue.released.notified()) => {
                    if released.is_err() {
                        self.queue.abort(AbortCause::CallerBound);
                    }
                }
            }
        }
    }

    /// Waits until the caller leaves or the stream is aborted.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.closed.cancelled() => {}
            () = self.queue.aborted() => {}
        }
    }

    /// Returns whether the stream was aborted because its caller read too slowly.
    pub fn is_aborted(&self) -> bool {
        self.queue.is_aborted()
    }

    /// Ends the stream as complete once the caller has read the queued pieces.
    pub fn complete(self, _evidence: WholeAnswer) {
        self.is_complete.store(true, Ordering::Release);
    }
}

impl Drop for StreamSender {
    fn drop(&mut self) {
        self.ended.cancel();
    }
}

/// The receiving end. Dropping it tells the sender that the caller left.
struct StreamReceiver {
    queue: Arc<CallerQueue>,
    closed: CancellationToken,
    is_complete: Arc<AtomicBool>,
    ended: CancellationToken,
}

impl StreamReceiver {
    /// Returns the next block; `None` at the normal end.
    async fn next(&self) -> Option<Result<Bytes, StreamAborted>> {
        loop {
            // Read first: what the sender queued before it ended is still delivered.
            let has_ended = self.ended.is_cancelled();
            if self.queue.is_aborted() {
                return Some(Err(StreamAborted));
            }
            if let Some(block) = self.queue.take() {
                return Some(Ok(block));
            }
            if has_ended {
                let is_complete = self.is_complete.load(Ordering::Acquire);
                return (!is_complete).then_some(Err(StreamAborted));
            }
            tokio::select! {
                () = self.queue.filled.notified() => {}
                () = self.ended.cancelled() => {}
            }
        }
    }
}

impl Drop for StreamReceiver {
    fn drop(&mut self) {
        self.closed.cancel();
        self.queue.close();
    }
}

/// Creates the body of a stream and its sender. `connection` is cancelled if the stream is aborted,
/// because a body is not read while its connection waits for the caller.
pub fn stream_body(
    queues: &CallerQueues,
    label: QueueLabel,
    connection: CancellationToken,
) -> (StreamSender, Body) {
    let queue = CallerQueue::new(queues, label, connection);
    let (closed, ended) = (CancellationToken::new(), CancellationToken::new());
    let is_complete = Arc::new(AtomicBool::new(false));
    let sender = StreamSender {
        queue: queue.clone(),
        closed: closed.clone(),
        is_complete: is_complete.clone(),
        ended: ended.clone(),
    };
    let receiver = StreamReceiver { queue, closed, is_complete, ended };
    let frames = futures::stream::unfold(Some(receiver), async |receiver| {
        let receiver = receiver?;
        match receiver.next().await? {
            Ok(block) => Some((Ok(Frame::data(block)), Some(receiver))),
            Err(aborted) => Some((Err(aborted), None)),
        }
    });
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}
