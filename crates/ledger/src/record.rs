//! What is kept of an order, and the one function that changes it.
//!
//! ```text
//!   (absent) --claim--> Recorded --finish--> Finished
//!      |                 |  ^  |
//!      |          withdraw  |  +--claim with take-over (higher number)--> Recorded
//!      |                 v  |
//!      +--withdraw-----> Void  (claim with a higher number leads back to Recorded)
//! ```
//!
//! Invariants:
//!
//! - A record has one attempt at a time, and the fencing number grows with each change of attempt.
//! - An attempt that was withdrawn never owns a record again.
//! - `Finished` is final.
//! - Applying an operation a second time changes nothing and gives the same verdict, so an
//!   operation whose answer was lost is settled by applying it again.

use crate::AttemptId;
use crate::FencingNumber;
use crate::Fingerprint;
use crate::OrderKey;
use crate::Outcome;

/// Where an order stands.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordState {
    /// The attempt may have sent the order.
    Recorded,
    /// The attempt gave up before it sent; nobody ran the order.
    Void,
    /// The upstream answered.
    Finished(Outcome),
}

/// What is kept of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Record {
    /// The request that the key stands for.
    pub fingerprint: Fingerprint,
    /// The only attempt that may send.
    pub attempt: AttemptId,
    /// The number that the attempt sends with.
    pub fencing: FencingNumber,
    /// When the attempt recorded itself, by its node's wall clock.
    pub recorded_at_ms: u64,
    /// Where the order stands.
    pub state: RecordState,
}

/// A request to become the sender of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long records of this service are retained.
    pub window_ms: u64,
    /// The age at which an unfinished record may be taken over. Only for services all of whose
    /// upstreams check fencing numbers.
    pub take_over_after_ms: Option<u64>,
}

/// A change to one record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Become the sender.
    Claim(Claim),
    /// Record what the upstream answered.
    Finish(Outcome),
    /// Give up before sending.
    Withdraw(Fingerprint),
}

/// A change to one record, by one attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Operation {
    /// The order.
    pub key: OrderKey,
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// The change.
    pub action: Action,
}

/// What became of an operation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// The attempt is the only one that may send, with this number.
    Claimed(FencingNumber),
    /// The order was finished before.
    Finished(Outcome),
    /// Another attempt holds the record and has not finished.
    Unfinished,
    /// The record is older than the retained window.
    Expired,
    /// The key stands for another request.
    Reused,
    /// The finish or withdrawal is recorded.
    Settled,
    /// The attempt does not own the record any more.
    Superseded,
}

/// What an operation does to a record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Step {
    /// The record to write, or none if nothing changes.
    pub change: Option<Record>,
    /// The verdict, valid once the change is written.
    pub verdict: Verdict,
}

impl Step {
    fn unchanged(verdict: Verdict) -> Self {
        Self { change: None, verdict }
    }
}

/// Applies an operation to what is recorded of its order.
pub fn apply(existing: Option<&Record>, operation: &Operation, wall_ms: u64) -> Step {
    match &operation.action {
        Action::Claim(claim) => apply_claim(existing, operation.attempt, claim, wall_ms),
        Action::Finish(outcome) => apply_finish(existing, operation.attempt, outcome),
        Action::Withdraw(fingerprint) => {
            apply_withdraw(existing, operation.attempt, *fingerprint, wall_ms)
        }
    }
}

fn apply_claim(existing: Option<&Record>, attempt: AttemptId, claim: &Claim, wall_ms: u64) -> Step {
    let Some(record) = existing else {
        return take(attempt, claim, FencingNumber::FIRST, wall_ms);
    };
    if record.attempt == attempt {
        return Step::unchanged(own_verdict(record));
    }
    if record.recorded_at_ms.saturating_add(claim.window_ms) < wall_ms {
        return Step::unchanged(Verdict::Expired);
    }
    if record.fingerprint != claim.fingerprint {
        return Step::unchanged(Verdict::Reused);
    }
    match &record.state {
        RecordState::Finished(outcome) => Step::unchanged(Verdict::Finished(outcome.clone())),
        RecordState::Void => take(attempt, claim, record.fencing.next(), wall_ms),
        RecordState::Recorded if may_take_over(record, claim, wall_ms) => {
            take(attempt, claim, record.fencing.next(), wall_ms)
        }
        RecordState::Recorded => Step::unchanged(Verdict::Unfinished),
    }
}

/// The verdict on an attempt that finds itself in the record.
fn own_verdict(record: &Record) -> Verdict {
    match &record.state {
        RecordState::Recorded => Verdict::Claimed(record.fencing),
        RecordState::Void => Verdict::Superseded,
        RecordState::Finished(outcome) => Verdict::Finished(outcome.clone()),
    }
}

fn may_take_over(record: &Record, claim: &Claim, wall_ms: u64) -> bool {
    let Some(after_ms) = claim.take_over_after_ms else {
        return false;
    };
    record.recorded_at_ms.saturating_add(after_ms) <= wall_ms
}

fn take(attempt: AttemptId, claim: &Claim, fencing: FencingNumber, wall_ms: u64) -> Step {
    let record = Record {
        fingerprint: claim.fingerprint,
        attempt,
        fencing,
        recorded_at_ms: wall_ms,
        state: RecordState::Recorded,
    };
    Step { change: Some(record), verdict: Verdict::Claimed(fencing) }
}

fn apply_finish(existing: Option<&Record>, attempt: AttemptId, outcome: &Outcome) -> Step {
    let Some(record) = existing.filter(|record| record.attempt == attempt) else {
        return Step::unchanged(Verdict::Superseded);
    };
    match record.state {
        RecordState::Recorded => {
            let state = RecordState::Finished(outcome.clone());
            let change = Record { state, ..record.clone() };
            Step { change: Some(change), verdict: Verdict::Settled }
        }
        RecordState::Finished(_) => Step::unchanged(Verdict::Settled),
        RecordState::Void => Step::unchanged(Verdict::Superseded),
    }
}

fn apply_withdraw(
    existing: Option<&Record>,
    attempt: AttemptId,
    fingerprint: Fingerprint,
    wall_ms: u64,
) -> Step {
    let Some(record) = existing else {
        // The claim may still land; a void record in its place keeps it out.
        let change = Record {
            fingerprint,
            attempt,
            fencing: FencingNumber::FIRST,
            recorded_at_ms: wall_ms,
            state: RecordState::Void,
        };
        return Step { change: Some(change), verdict: Verdict::Settled };
    };
    if record.attempt != attempt {
        return Step::unchanged(Verdict::Superseded);
    }
    match record.state {
        RecordState::Recorded => {
            let change = Record { state: RecordState::Void, ..record.clone() };
            Step { change: Some(change), verdict: Verdict::Settled }
        }
        RecordState::Void => Step::unchanged(Verdict::Settled),
        RecordState::Finished(_) => Step::unchanged(Verdict::Superseded),
    }
}
