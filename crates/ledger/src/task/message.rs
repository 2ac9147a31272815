//! What reaches the ledger task.

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
    /// Decide whether an order may run on this node.
    Admit { request: AdmissionRequest, reply: oneshot::Sender<Admission> },
    /// Apply an operation and answer.
    Apply {
        operation: Operation,
        within_ms: u64,
        origin: Origin,
        reply: oneshot::Sender<Result<Verdict, OperationError>>,
    },
    /// Record an outcome, however long that takes, then let the order go. `recorded` is dropped if
    /// that fails.
    Settle { operation: Operation, window_ms: u64, recorded: oneshot::Sender<()> },
    /// Let an order go.
    Release { key: OrderKey, attempt: AttemptId },
    /// Report the state.
    Dump { reply: oneshot::Sender<LedgerState> },
    /// Write at once whatever waits, and answer when nothing waits any more.
    Drain { reply: oneshot::Sender<()> },
    /// End without settling what waits.
    Abandon,
}

/// Where an operation comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Origin {
    /// A request on this node.
    Request,
    /// A peer for which this node is the home.
    Peer,
}
