//! The lifecycle of one order on one node, as typestate.
//!
//! ```text
//!   Received --record--> Recorded --send--> Sent --finish--> (finished)
//!      |                  |   ^              | | \--leave_unfinished--> (outcome unknown)
//!      |                  |   +-mark_unsent--+ |
//!      v                  v                    v
//!   refused, or        dropped:             dropped: outcome unknown
//!   first outcome      withdrawn
//! ```
//!
//! Only a [`Recorded`] order can be sent, and sending consumes it, so an attempt sends once. An
//! order that is dropped before it is sent is withdrawn, which lets a retry run. The record of an
//! order that is dropped after sending is left unchanged, and a retry is refused with an unknown
//! outcome.

mod guard;
mod policy;

use tokio::time::Instant;

use crate::AttemptId;
use crate::ClockReading;
use crate::FencingNumber;
use crate::Fingerprint;
use crate::OrderKey;
use crate::Outcome;
use crate::layout::OperationError;
use crate::order::guard::DropAction;
use crate::order::guard::OrderGuard;
use crate::record::Action;
use crate::record::Claim;
use crate::record::EarlierRun;
use crate::record::Operation;
use crate::record::Permit;
use crate::record::Verdict;
use crate::task::Admission;
use crate::task::AdmissionRequest;
use crate::task::Ledger;
use crate::task::OutcomeWrite;
use redwingrill_codes::ResultCode;

pub use policy::OrderPolicy;

/// State of an order that was received from its caller.
#[derive(Debug)]
pub struct Received {
    ledger: Ledger,
    key: OrderKey,
    fingerprint: Fingerprint,
    policy: OrderPolicy,
}

/// State of an order that is recorded; only this attempt may send it.
#[derive(Debug)]
pub struct Recorded {
    guard: OrderGuard,
    permit: Permit,
    submitted_at: SubmitTime,
}

/// State of an order that may have been sent to an upstream.
#[derive(Debug)]
pub struct Sent {
    guard: OrderGuard,
    permit: Permit,
    submitted_at: SubmitTime,
}

/// The time at which the claim was submitted, on both clocks.
#[derive(Clone, Copy, Debug)]
struct SubmitTime {
    at: Instant,
    wall_ms: u64,
}

/// Why an order ends without being sent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordError {
    /// The order has already run; this is its first outcome.
    Replay(Outcome),
    /// Another attempt owns the order and is recent enough to be still running.
    MayBeRunning,
    /// The order is refused with this code.
    Refused(ResultCode),
}

/// An order in one state of its lifecycle.
#[derive(Debug)]
pub struct Order<State> {
    state: State,
}

impl Order<Received> {
    /// Creates an order from a caller's request.
    pub fn receive(
        ledger: &Ledger,
        key: OrderKey,
        fingerprint: Fingerprint,
        policy: OrderPolicy,
    ) -> Self {
        Self { state: Received { ledger: ledger.clone(), key, fingerprint, policy } }
    }

    /// Records the order in the store.
    ///
    /// # Errors
    ///
    /// Fails with the first outcome, or with the reason for refusing the order. If the code of a
    /// refusal says "not run", this call has not been sent and will not be.
    pub async fn record(self, attempt: AttemptId) -> Result<Order<Recorded>, RecordError> {
        let Received { ledger, key, fingerprint, policy } = self.state;
        let request = AdmissionRequest {
            key: key.clone(),
            account: policy.account.clone(),
            attempt,
            fingerprint,
            in_flight_limit: policy.in_flight_limit,
        };
        // Create the guard first, so that the order is released if the caller disconnects.
        let mut guard = OrderGuard::new(ledger, key, attempt, fingerprint, policy.window_ms);
        admit(&guard.ledger, request).await?;
        guard.on_drop = DropAction::Withdraw;
        let submitted_at =
            SubmitTime { at: Instant::now(), wall_ms: guard.ledger.clock().now_ms() };
        let claim = Claim { fingerprint, window_ms: policy.window_ms, take_over: policy.take_over };
        let operation = Operation { key: guard.key.clone(), attempt, action: Action::Claim(claim) };
        let result = guard.ledger.apply_for_request(operation).await;
        let permit = match result {
            Ok(Verdict::Claimed(permit)) => permit,
            Err(OperationError::MaybeWritten) => {
                return Err(RecordError::Refused(ResultCode::LedgerOutcomeUnknown));
            }
            other => {
                // This attempt owns no record, so there is nothing to withdraw.
                guard.on_drop = DropAction::Release;
                return Err(record_error(other, policy.running_limit_ms));
            }
        };
        Ok(Order { state: Recorded { guard, permit, submitted_at } })
    }
}

async fn admit(ledger: &Ledger, request: AdmissionRequest) -> Result<(), RecordError> {
    match ledger.admit(request).await {
        Some(Admission::Admitted) => Ok(()),
        Some(Admission::Finished(outcome)) => Err(RecordError::Replay(outcome)),
        Some(Admission::InFlight) => Err(RecordError::Refused(ResultCode::OrderInFlight)),
        Some(Admission::KeyReused) => Err(RecordError::Refused(ResultCode::IdempotencyKeyReused)),
        Some(Admission::WindowFull) => Err(RecordError::Refused(ResultCode::WindowFull)),
        Some(Admission::Withdrawing | Admission::Paused) | None => {
            Err(RecordError::Refused(ResultCode::LedgerUnavailable))
        }
    }
}

fn record_error(result: Result<Verdict, OperationError>, running_limit_ms: u64) -> RecordError {
    match result {
        Ok(Verdict::Unfinished { age_ms }) if age_ms < running_limit_ms => {
            RecordError::MayBeRunning
        }
        Ok(Verdict::Finished(outcome)) => RecordError::Replay(outcome),
        Ok(Verdict::Expired) => RecordError::Refused(ResultCode::KeyExpired),
        Ok(Verdict::KeyReused) => RecordError::Refused(ResultCode::IdempotencyKeyReused),
        Ok(_) => RecordError::Refused(ResultCode::OutcomeUnknown),
        Err(OperationError::NotWritten) => RecordError::Refused(ResultCode::LedgerUnavailable),
        Err(OperationError::MaybeWritten) => RecordError::Refused(ResultCode::LedgerOutcomeUnknown),
    }
}

impl Order<Recorded> {
    /// Returns the only upstream that the order may be sent to; none if any is allowed.
    pub fn bound_to(&self) -> Option<&str> {
        self.state.permit.bound_to.as_deref()
    }

    /// Returns whether an earlier attempt may have run the order. If so, no refusal may say "not
    /// run", even if this attempt sends nothing.
    pub fn earlier_run(&self) -> EarlierRun {
        self.state.permit.earlier_run
    }

    /// Starts sending the order.
    ///
    /// # Errors
    ///
    /// Fails and withdraws the order if the send limit has passed since its claim was submitted, as
    /// after a pause of the process.
    pub fn send(self) -> Result<Order<Sent>, ResultCode> {
        let Recorded { mut guard, permit, submitted_at } = self.state;
        let limit_ms = guard.ledger.config().send_limit_ms;
        let then = ClockReading { monotonic_ms: 0, wall_ms: submitted_at.wall_ms };
        let monotonic_ms = submitted_at.at.elapsed().as_millis() as u64;
        let now = ClockReading { monotonic_ms, wall_ms: guard.ledger.clock().now_ms() };
        if now.since_ms(then) > limit_ms {
            return Err(ResultCode::LedgerOutcomeUnknown);
        }
        guard.on_drop = DropAction::Release;
        Ok(Order { state: Sent { guard, permit, submitted_at } })
    }
}

impl Order<Sent> {
    /// Returns the fencing number to send to an upstream that checks fencing.
    pub fn fencing(&self) -> FencingNumber {
        self.state.permit.fencing
    }

    /// Records the upstream's response. The order stays in flight until the response is stored.
    pub fn finish(self, outcome: Outcome) -> OutcomeWrite {
        let mut guard = self.state.guard;
        guard.on_drop = DropAction::Nothing;
        let operation = guard.operation(Action::Finish(outcome));
        guard.ledger.settle(operation, guard.window_ms)
    }

    /// Returns the order to `Recorded`. Valid only if no byte of it reached an upstream.
    pub fn mark_unsent(self) -> Order<Recorded> {
        let Sent { mut guard, permit, submitted_at } = self.state;
        guard.on_drop = DropAction::Withdraw;
        Order { state: Recorded { guard, permit, submitted_at } }
    }

    /// Leaves the record unfinished, because it is unknown whether the order ran.
    pub fn leave_unfinished(self) {
        drop(self);
    }
}
