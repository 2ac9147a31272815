//! The handle through which requests and peers reach the ledger task.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::AttemptId;
use crate::OrderKey;
use crate::layout::OperationError;
use crate::record::Operation;
use crate::record::Verdict;
use crate::task::Admission;
use crate::task::AdmissionRequest;
use crate::task::LedgerConfig;
use crate::task::LedgerState;
use crate::task::WallClock;
use crate::task::message::Message;
use crate::task::message::Origin;

/// The recording of an outcome, which goes on whether or not it is waited for.
#[derive(Debug)]
pub struct OutcomeWrite {
    response: oneshot::Receiver<()>,
}

impl OutcomeWrite {
    /// Waits until the outcome is in the store, so that a retry on any node finds it. Returns
    /// whether it is there within `limit`.
    pub async fn recorded_within(self, limit: Duration) -> bool {
        matches!(tokio::time::timeout(limit, self.response).await, Ok(Ok(())))
    }
}

/// A handle on the ledger task. The task lives as long as one of its handles.
///
/// The queue behind it has no bound of its own: requests are bounded by the orders in flight, and
/// each order adds at most two messages.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(super) messages: mpsc::UnboundedSender<Message>,
    pub(super) config: LedgerConfig,
    pub(super) clock: WallClock,
}

impl Ledger {
    /// Returns the settings.
    pub fn config(&self) -> &LedgerConfig {
        &self.config
    }

    /// Returns the wall clock.
    pub fn clock(&self) -> &WallClock {
        &self.clock
    }

    /// Applies an operation that a peer forwarded to this node as the shard's home.
    pub async fn apply_for_peer(
        &self,
        operation: Operation,
        within_ms: u64,
    ) -> Result<Verdict, OperationError> {
        self.apply(operation, within_ms, Origin::Peer).await
    }

    /// Reports the state for the dump; none if the task has ended.
    pub async fn state(&self) -> Option<LedgerState> {
        let (reply, response) = oneshot::channel();
        self.messages.send(Message::Dump { reply }).ok()?;
        response.await.ok()
    }

    /// Writes at once whatever waits. Returns whether all of it was settled within `limit`.
    pub async fn drain(&self, limit: Duration) -> bool {
        let (reply, response) = oneshot::channel();
        if self.messages.send(Message::Drain { reply }).is_err() {
            return true;
        }
        tokio::time::timeout(limit, response).await.is_ok()
    }

    /// Drains the ledger within `limit`, and ends its task even if something is not settled then.
    pub async fn close(&self, limit: Duration) -> bool {
        let drained = self.drain(limit).await;
        // A task that has ended needs no message.
        let _ = self.messages.send(Message::Abandon);
        drained
    }

    /// Asks whether an order may run on this node.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Option<Admission> {
        let (reply, response) = oneshot::channel();
        self.messages.send(Message::Admit { request, reply }).ok()?;
        response.await.ok()
    }

    /// Applies an operation of a request on this node.
    pub(crate) async fn apply_for_request(
        &self,
        operation: Operation,
    ) -> Result<Verdict, OperationError> {
        self.apply(operation, self.config.record_deadline_ms, Origin::Request).await
    }

    async fn apply(
        &self,
        operation: Operation,
        within_ms: u64,
        origin: Origin,
    ) -> Result<Verdict, OperationError> {
        let (reply, response) = oneshot::channel();
        let message = Message::Apply { operation, within_ms, origin, reply };
        if self.messages.send(message).is_err() {
            return Err(OperationError::NotWritten);
        }
        // A task that ended without an answer may have written.
        response.await.unwrap_or(Err(OperationError::MaybeWritten))
    }

    /// Applies an operation in the background, then lets the order go.
    pub(crate) fn settle(&self, operation: Operation, window_ms: u64) -> OutcomeWrite {
        let (recorded, response) = oneshot::channel();
        // A task that has ended settles nothing: the record stays as it is.
        let _ = self.messages.send(Message::Settle { operation, window_ms, recorded });
        OutcomeWrite { response }
    }

    /// Lets an order go.
    pub(crate) fn release(&self, key: OrderKey, attempt: AttemptId) {
        let _ = self.messages.send(Message::Release { key, attempt });
    }
}
