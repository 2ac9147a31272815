//! Operations that wait for the store.

use crate::ClockReading;
use crate::layout::Completion;
use crate::layout::OperationError;
use crate::layout::Submission;
use crate::record::Action;
use crate::record::Verdict;
use redwingrill_ports::Expected;

/// An operation that waits, and what is known of its fate.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PendingOperation {
    /// The operation.
    pub submission: Submission,
    /// When it came, on the monotonic clock.
    pub submitted_at_ms: u64,
    /// The write that holds it, got no answer, and may still land.
    pub unconfirmed_write: Option<UnconfirmedWrite>,
}

/// A write without an answer. It can land only while the document is as the write expected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UnconfirmedWrite {
    /// The number of the document that was written.
    pub document: u64,
    /// What the write expected to find.
    pub expected: Expected,
}

impl PendingOperation {
    /// Takes an operation.
    pub fn new(submission: Submission, now: ClockReading) -> Self {
        Self { submission, submitted_at_ms: now.monotonic_ms, unconfirmed_write: None }
    }

    /// Returns whether the submitter waits for an answer, and not only for the record.
    pub fn is_claim(&self) -> bool {
        matches!(self.submission.operation.action, Action::Claim(_))
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self, now: ClockReading) -> bool {
        self.submission.deadline_ms <= now.monotonic_ms
    }

    /// Takes note of what a document was seen to be: a lost write that expected something else
    /// cannot land any more.
    pub fn observe(&mut self, document: u64, found: Expected) {
        let cannot_land = |unconfirmed: &UnconfirmedWrite| {
            unconfirmed.document == document && unconfirmed.expected != found
        };
        if self.unconfirmed_write.as_ref().is_some_and(cannot_land) {
            self.unconfirmed_write = None;
        }
    }

    /// Ends the operation with a verdict.
    pub fn complete(self, verdict: Verdict) -> Completion {
        self.finish(Ok(verdict))
    }

    /// Ends the operation without a verdict.
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
