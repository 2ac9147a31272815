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

/// A pending write of an outcome. The write continues in the background if this is dropped.
#[derive(Debug)]
pub struct OutcomeWrite {
    on_recorded: oneshot::Receiver<()>,
}

impl OutcomeWrite {
    /// Waits until the outcome is stored, so that a retry on any node finds it. Returns whether it
    /// was stored within `limit`.
    pub async fn recorded_within(self, limit: Duration) -> bool {
        matches!(tokio::time::timeout(limit, self.on_recorded).await, Ok(Ok(())))
    }
}

/// A handle to the ledger task. The task runs as long as one of its handles exists.
///
/// The message queue is unbounded: the number of orders in flight is limited, and each order adds
/// at most two messages.
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

    /// Applies an operation that a peer forwarded to this node as the owner of the shard.
    ///
    /// # Errors
    ///
    /// Fails if the operation has no verdict after `within_ms` milliseconds, or if the task has
    /// ended.
    pub async fn apply_for_peer(
        &self,
        operation: Operation,
        within_ms: u64,
    ) -> Result<Verdict, OperationError> {
        self.apply(operation, within_ms, Origin::Peer).await
    }

    /// Returns the state for the state dump; none if the task has ended.
    pub async fn state(&self) -> Option<LedgerState> {
        let (reply, response) = oneshot::channel();
        self.messages.send(Message::Dump { reply }).ok()?;
        response.await.ok()
    }

    /// Writes all pending operations without batching delay. Returns whether all of them completed
    /// within `limit`.
    pub async fn drain(&self, limit: Duration) -> bool {
        let (reply, response) = oneshot::channel();
        if self.messages.send(Message::Drain { reply }).is_err() {
            return true;
        }
        tokio::time::timeout(limit, response).await.is_ok()
    }

    /// Drains the ledger for at most `limit`, then ends its task even if operations are still
    /// pending. Returns whether all of them completed.
    pub async fn close(&self, limit: Duration) -> bool {
        let drained = self.drain(limit).await;
        // Sending fails only if the task has already ended.
        let _ = self.messages.send(Message::Abandon);
        drained
    }

    /// Requests admission of an order on this node; none if the task has ended.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Option<Admission> {
        let (reply, response) = oneshot::channel();
        self.messages.send(Message::Admit { request, reply }).ok()?;
        response.await.ok()
    }

    /// Applies an operation for a request on this node.
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
        // The task may have written the operation before it ended without a response.
        response.await.unwrap_or(Err(OperationError::MaybeWritten))
    }

    /// Applies an operation in the background, then releases the order.
    pub(crate) fn settle(&self, operation: Operation, window_ms: u64) -> OutcomeWrite {
        let (recorded, on_recorded) = oneshot::channel();
        // If the task has ended, the record stays unchanged.
        let _ = self.messages.send(Message::Settle { operation, window_ms, recorded });
        OutcomeWrite { on_recorded }
    }

    /// Releases an order, so that it no longer counts as running on this node.
    pub(crate) fn release(&self, key: OrderKey, attempt: AttemptId) {
        let _ = self.messages.send(Message::Release { key, attempt });
    }
}
