//! The body of a stream that a task feeds.
//!
//! Invariant: the body ends normally only after [`StreamSender::complete`], which takes the evidence
//! that the upstream's stream is whole. A task that ends otherwise, by an abort, a panic or a
//! cancellation, breaks the stream off.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use snafu::Snafu;
use tokio::sync::mpsc;

use super::response::Body;
use super::response::StreamAborted;
use super::whole_answer::WholeAnswer;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::ByteReservation;

/// The pieces queued for a slow caller; while the queue is full, the task waits.
const QUEUE_LEN: usize = 8;

/// The caller closed its connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("the caller left"))]
pub struct CallerLeft;

/// How long a piece waits before it tries again to get room in the buffers.
const ROOM_POLL_PERIOD: Duration = Duration::from_millis(20);

/// A piece that waits for its caller.
#[derive(Debug)]
struct QueuedPiece {
    data: Bytes,
    _reservation: ByteReservation,
}

/// Feeds the body of a stream. Dropping it breaks the stream off.
#[derive(Debug)]
pub struct StreamSender {
    pieces: mpsc::Sender<QueuedPiece>,
    budget: ByteBudget,
    is_complete: Arc<AtomicBool>,
}

impl StreamSender {
    /// Sends a piece; waits while the queue or the budget is full.
    ///
    /// # Errors
    ///
    /// [`CallerLeft`] if nobody reads the body any more.
    pub async fn send(&self, piece: Bytes) -> Result<(), CallerLeft> {
        let place = self.pieces.reserve().await.map_err(|_| CallerLeft)?;
        let mut reservation = self.budget.reservation();
        while reservation.grow(piece.len()).is_err() {
            tokio::select! {
                () = self.pieces.closed() => return Err(CallerLeft),
                () = tokio::time::sleep(ROOM_POLL_PERIOD) => {}
            }
        }
        place.send(QueuedPiece { data: piece, _reservation: reservation });
        Ok(())
    }

    /// Waits until the caller leaves.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Ends the stream as complete once the caller has read the queued pieces.
    pub fn complete(self, _evidence: WholeAnswer) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Creates the body of a stream and its sender. The queued pieces draw on `budget`.
pub fn stream_body(budget: &ByteBudget) -> (StreamSender, Body) {
    let (pieces, receiver) = mpsc::channel(QUEUE_LEN);
    let is_complete = Arc::new(AtomicBool::new(false));
    let sender = StreamSender { pieces, budget: budget.clone(), is_complete: is_complete.clone() };
    let frames = futures::stream::unfold(Some(receiver), move |receiver| {
        let is_complete = is_complete.clone();
        async move {
            let mut receiver = receiver?;
            match receiver.recv().await {
                Some(piece) => Some((Ok(Frame::data(piece.data)), Some(receiver))),
                None if is_complete.load(Ordering::Acquire) => None,
                None => Some((Err(StreamAborted), None)),
            }
        }
    });
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}
