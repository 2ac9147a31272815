//! The record of an order and the function that applies operations to it.
//!
//! ```text
//!   (absent) --claim--> Recorded --finish--> Finished
//!      |                 |  ^  |
//!      |          withdraw  |  +--claim with take-over (higher number)--> Recorded
//!      |                 v  |
//!      +--withdraw-----> Void  (a claim with a higher number returns to Recorded)
//! ```
//!
//! Invariants:
//!
//! - A record has one attempt at a time, and the fencing number grows with each change of attempt.
//! - A withdrawn attempt never owns a record again.
//! - A record is taken over only if its attempt was bound to one upstream, and the new attempt is
//!   bound to the same upstream: no other upstream knows the first attempt's fencing number.
//! - A record that was taken over never becomes `Void`, since an earlier attempt may have sent.
//! - `Finished` is final.
//! - Operations are idempotent: applying one a second time changes nothing and gives the same
//!   verdict, so an operation whose response was lost can be applied again.

use std::sync::Arc;

use crate::AttemptId;
use crate::FencingNumber;
use crate::Fingerprint;
use crate::OrderKey;
use crate::Outcome;

/// The state of an order's record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordState {
    /// The attempt may have sent the order.
    Recorded,
    /// The attempt was withdrawn before it sent; the order has not run.
    Void,
    /// The upstream responded with this outcome.
    Finished(Outcome),
}

/// The record of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Record {
    /// The fingerprint of the request that uses the key.
    pub fingerprint: Fingerprint,
    /// The only attempt that may send.
    pub attempt: AttemptId,
    /// The fencing number of the attempt.
    pub fencing: FencingNumber,
    /// When the attempt was recorded, by the wall clock of its node.
    pub recorded_at_ms: u64,
    /// The only upstream that the attempt may send to; none if it may send to any upstream.
    pub bound_to: Option<Arc<str>>,
    /// Whether an earlier attempt may have sent.
    pub taken_over: bool,
    /// The state of the record.
    pub state: RecordState,
}

/// A request to become the sender of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The retention window of the service, in milliseconds.
    pub window_ms: u64,
    /// Whether and how an unfinished record may be taken over.
    pub take_over: Option<TakeOver>,
}

/// How unfinished orders are taken over. Valid only for services whose upstreams all check fencing
/// numbers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TakeOver {
    /// The minimum age of an unfinished record that may be taken over, in milliseconds.
    pub after_ms: u64,
    /// The upstream that a new record is bound to.
    pub bind_to: Arc<str>,
}

/// The kinds of operation on a record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Makes the attempt the sender.
    Claim(Claim),
    /// Records the upstream's response.
    Finish(Outcome),
    /// Withdraws the attempt before it sends.
    Withdraw(Fingerprint),
}

/// An operation on one record by one attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Operation {
    /// The order.
    pub key: OrderKey,
    /// The attempt that requests the change.
    pub attempt: AttemptId,
    /// The kind of operation.
    pub action: Action,
}

/// Whether an earlier attempt may have run an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EarlierRun {
    /// No earlier attempt has sent the order.
    None,
    /// The order was taken over from an attempt whose outcome is unknown.
    Possible,
}

/// The permission of an attempt to send its order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Permit {
    /// The fencing number to send.
    pub fencing: FencingNumber,
    /// The only upstream to send to; none if any is allowed.
    pub bound_to: Option<Arc<str>>,
    /// Whether the order may have run before.
    pub earlier_run: EarlierRun,
}

/// The result of an operation on a record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// The attempt owns the record, and no other may send.
    Claimed(Permit),
    /// The order is already finished with this outcome.
    Finished(Outcome),
    /// Another attempt owns the record and has not finished.
    Unfinished {
        /// The time since that attempt was recorded, in milliseconds.
        age_ms: u64,
    },
    /// The record is older than the retention window.
    Expired,
    /// The key was used for a different request.
    KeyReused,
    /// The finish or withdrawal is recorded.
    Settled,
    /// The attempt no longer owns the record.
    Superseded,
}

/// The effect of an operation on a record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Transition {
    /// The record to write; none if nothing changes.
    pub change: Option<Record>,
    /// The verdict, valid only once the change is written.
    pub verdict: Verdict,
}

impl Transition {
    fn unchanged(verdict: Verdict) -> Self {
        Self { change: None, verdict }
    }
}

/// Applies an operation to the record of its order, if there is one. `wall_ms` is the current wall
/// clock time.
pub fn apply(existing: Option<&Record>, operation: &Operation, wall_ms: u64) -> Transition {
    match &operation.action {
        Action::Claim(claim) => apply_claim(existing, operation.attempt, claim, wall_ms),
        Action::Finish(outcome) => apply_finish(existing, operation.attempt, outcome),
        Action::Withdraw(fingerprint) => {
            apply_withdraw(existing, operation.attempt, *fingerprint, wall_ms)
        }
    }
}

fn apply_claim(
    existing: Option<&Record>,
    attempt: AttemptId,
    claim: &Claim,
    wall_ms: u64,
) -> Transition {
    let Some(record) = existing else {
        return new_claim(attempt, claim, FencingNumber::FIRST, wall_ms);
    };
    if record.attempt == attempt {
        return Transition::unchanged(verdict_for_owner(record));
    }
    if record.recorded_at_ms.saturating_add(claim.window_ms) < wall_ms {
        return Transition::unchanged(Verdict::Expired);
    }
    if record.fingerprint != claim.fingerprint {
        return Transition::unchanged(Verdict::KeyReused);
    }
    match &record.state {
        RecordState::Finished(outcome) => Transition::unchanged(Verdict::Finished(outcome.clone())),
        RecordState::Void => new_claim(attempt, claim, record.fencing.next(), wall_ms),
        RecordState::Recorded if may_take_over(record, claim, wall_ms) => claimed(Record {
            attempt,
            fencing: record.fencing.next(),
            recorded_at_ms: wall_ms,
            taken_over: true,
            ..record.clone()
        }),
        RecordState::Recorded => {
            let age_ms = wall_ms.saturating_sub(record.recorded_at_ms);
            Transition::unchanged(Verdict::Unfinished { age_ms })
        }
    }
}

/// Returns the verdict on a claim by the attempt that already owns the record.
fn verdict_for_owner(record: &Record) -> Verdict {
    match &record.state {
        RecordState::Recorded => Verdict::Claimed(permit(record)),
        RecordState::Void => Verdict::Superseded,
        RecordState::Finished(outcome) => Verdict::Finished(outcome.clone()),
    }
}

fn may_take_over(record: &Record, claim: &Claim, wall_ms: u64) -> bool {
    let Some(take_over) = &claim.take_over else {
        return false;
    };
    let is_old = record.recorded_at_ms.saturating_add(take_over.after_ms) <= wall_ms;
    is_old && record.bound_to.is_some()
}

fn permit(record: &Record) -> Permit {
    let earlier_run = if record.taken_over { EarlierRun::Possible } else { EarlierRun::None };
    Permit { fencing: record.fencing, bound_to: record.bound_to.clone(), earlier_run }
}

fn new_claim(
    attempt: AttemptId,
    claim: &Claim,
    fencing: FencingNumber,
    wall_ms: u64,
) -> Transition {
    claimed(Record {
        fingerprint: claim.fingerprint,
        attempt,
        fencing,
        recorded_at_ms: wall_ms,
        bound_to: claim.take_over.as_ref().map(|take_over| take_over.bind_to.clone()),
        taken_over: false,
        state: RecordState::Recorded,
    })
}

fn claimed(record: Record) -> Transition {
    let verdict = Verdict::Claimed(permit(&record));
    Transition { change: Some(record), verdict }
}

fn apply_finish(existing: Option<&Record>, attempt: AttemptId, outcome: &Outcome) -> Transition {
    let Some(record) = existing.filter(|record| record.attempt == attempt) else {
        return Transition::unchanged(Verdict::Superseded);
    };
    match record.state {
        RecordState::Recorded => {
            let state = RecordState::Finished(outcome.clone());
            let change = Record { state, ..record.clone() };
            Transition { change: Some(change), verdict: Verdict::Settled }
        }
        RecordState::Finished(_) => Transition::unchanged(Verdict::Settled),
        RecordState::Void => Transition::unchanged(Verdict::Superseded),
    }
}

fn apply_withdraw(
    existing: Option<&Record>,
    attempt: AttemptId,
    fingerprint: Fingerprint,
    wall_ms: u64,
) -> Transition {
    let Some(record) = existing else {
        // The attempt's own claim may still be applied; a void record prevents that.
        let change = Record {
            fingerprint,
            attempt,
            fencing: FencingNumber::FIRST,
            recorded_at_ms: wall_ms,
            bound_to: None,
            taken_over: false,
            state: RecordState::Void,
        };
        return Transition { change: Some(change), verdict: Verdict::Settled };
    };
    if record.attempt != attempt {
        return Transition::unchanged(Verdict::Superseded);
    }
    match record.state {
        RecordState::Recorded if record.taken_over => Transition::unchanged(Verdict::Settled),
        RecordState::Recorded => {
            let change = Record { state: RecordState::Void, ..record.clone() };
            Transition { change: Some(change), verdict: Verdict::Settled }
        }
        RecordState::Void => Transition::unchanged(Verdict::Settled),
        RecordState::Finished(_) => Transition::unchanged(Verdict::Superseded),
    }
}
