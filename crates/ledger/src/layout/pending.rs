//! Operations that are not yet completed.

use crate::ClockReading;
use crate::layout::Completion;
use crate::layout::OperationError;
use crate::layout::Submission;
use crate::record::Action;
use crate::record::Verdict;
use redwingrill_ports::Expected;

/// A pending operation, and whether one of its writes may still be applied.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PendingOperation {
    /// The operation.
    pub submission: Submission,
    /// When it was submitted, on the monotonic clock.
    pub submitted_at_ms: u64,
    /// The write that contains the operation, got no response, and may still be applied.
    pub unconfirmed_write: Option<UnconfirmedWrite>,
}

/// A write without a response. It can be applied only while the document is as the write expects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UnconfirmedWrite {
    /// The number of the written document: the slice of a page, or zero for a single record.
    pub document: u64,
    /// The state of the document that the write expects.
    pub expected: Expected,
}

impl PendingOperation {
    /// Creates a pending operation that was submitted at `now`.
    pub fn new(submission: Submission, now: ClockReading) -> Self {
        Self { submission, submitted_at_ms: now.monotonic_ms, unconfirmed_write: None }
    }

    /// Returns whether the operation is a claim, whose caller waits for the verdict.
    pub fn is_claim(&self) -> bool {
        matches!(self.submission.operation.action, Action::Claim(_))
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self, now: ClockReading) -> bool {
        self.submission.deadline_ms <= now.monotonic_ms
    }

    /// Records the observed state of a document: an unconfirmed write that expects another state
    /// can no longer be applied.
    pub fn observe(&mut self, document: u64, found: Expected) {
        let cannot_apply = |unconfirmed: &UnconfirmedWrite| {
            unconfirmed.document == document && unconfirmed.expected != found
        };
        if self.unconfirmed_write.as_ref().is_some_and(cannot_apply) {
            self.unconfirmed_write = None;
        }
    }

    /// Completes the operation with a verdict.
    pub fn complete(self, verdict: Verdict) -> Completion {
        self.finish(Ok(verdict))
    }

    /// Fails the operation without a verdict.
    pub fn give_up(self) -> Completion {
        let maybe_written = self.unconfirmed_write.is_some() || self.submission.forwarded;
        let error =
            if maybe_written { OperationError::MaybeWritten } else { OperationError::NotWritten };
        self.finish(Err(error))
    }

    fn finish(self, result: Result<Verdict, OperationError>) -> Completion {
        let Submission { operation_id, operation, .. } = self.submission;
        Completion { operation_id, key: operation.key, result }
    }
}
