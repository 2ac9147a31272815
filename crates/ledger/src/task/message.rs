//! The messages that the ledger task receives.

use tokio::sync::oneshot;

use crate::AttemptId;
use crate::OrderKey;
use crate::layout::OperationError;
use crate::record::Operation;
use crate::record::Verdict;
use crate::task::Admission;
use crate::task::AdmissionRequest;
use crate::task::LedgerState;

/// A message to the ledger task.
#[derive(Debug)]
pub(super) enum Message {
    /// Decides whether an order may run on this node.
    Admit { request: AdmissionRequest, reply: oneshot::Sender<Admission> },
    /// Applies an operation and replies with the result.
    Apply {
        operation: Operation,
        within_ms: u64,
        origin: Origin,
        reply: oneshot::Sender<Result<Verdict, OperationError>>,
    },
    /// Records an outcome or a withdrawal within the settle deadline, then releases the order.
    /// `recorded` is dropped if that fails.
    Settle { operation: Operation, window_ms: u64, recorded: oneshot::Sender<()> },
    /// Releases an order.
    Release { key: OrderKey, attempt: AttemptId },
    /// Reports the state.
    Dump { reply: oneshot::Sender<LedgerState> },
    /// Writes all pending operations without delay and replies when none is left.
    Drain { reply: oneshot::Sender<()> },
    /// Ends the task without completing pending operations.
    Abandon,
}

/// The origin of an operation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Origin {
    /// A request on this node.
    Request,
    /// A peer that forwarded the operation to this node as the shard owner.
    Peer,
}
