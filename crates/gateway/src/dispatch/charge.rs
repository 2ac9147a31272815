//! The tokens that a request was charged.

use tokio::sync::oneshot;

use super::Dispatcher;
use super::dispatcher::Message;
use redwingrill_admission::limits::fleet::QuotaCharge;
use redwingrill_admission::limits::fleet::QuotaDecision;

/// Why a quota does not allow a request. The request has not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuotaRefusal {
    /// The quota has too few tokens.
    Exceeded {
        /// The delay after which the caller may retry.
        retry_after_ms: u64,
        /// The tokens per second that were granted over all nodes recently.
        used_per_s: u64,
    },
    /// No node that holds a part of the quota can be reached.
    Unreachable {
        /// The delay after which the caller may retry at another node.
        retry_after_ms: u64,
    },
}

/// The tokens that a request was charged. Dropping it refunds them unless an upstream may have run
/// the request.
#[derive(Debug)]
pub struct Charge {
    dispatcher: Dispatcher,
    charge: Option<QuotaCharge>,
    may_have_run: bool,
}

impl Charge {
    fn new(dispatcher: Dispatcher, charge: QuotaCharge) -> Self {
        Self { dispatcher, charge: Some(charge), may_have_run: false }
    }

    /// Returns whether the tokens are from the allowance of a node that reaches no owner.
    pub fn is_from_allowance(&self) -> bool {
        self.charge.as_ref().is_some_and(QuotaCharge::is_from_allowance)
    }

    /// Records whether an upstream may have run the request. To be recorded before a send: the
    /// request may end at any time during it.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.may_have_run) {
            self.dispatcher.send(Message::Refund { charge });
        }
    }
}

/// Returns the decision on a charge to a request. If the request ends before it takes the charge,
/// the tokens are refunded.
#[derive(Debug)]
pub(super) struct ChargeResponder {
    sender: oneshot::Sender<Result<Charge, QuotaRefusal>>,
}

impl ChargeResponder {
    pub fn new(sender: oneshot::Sender<Result<Charge, QuotaRefusal>>) -> Self {
        Self { sender }
    }

    /// Responds with a decision.
    pub fn respond(self, dispatcher: &Dispatcher, decision: QuotaDecision) {
        let response = match decision {
            QuotaDecision::Admitted(charge) => Ok(Charge::new(dispatcher.clone(), charge)),
            QuotaDecision::Exceeded { retry_after_ms, used_per_s } => {
                Err(QuotaRefusal::Exceeded { retry_after_ms, used_per_s })
            }
            QuotaDecision::Unreachable { retry_after_ms } => {
                Err(QuotaRefusal::Unreachable { retry_after_ms })
            }
        };
        let _disconnected = self.sender.send(response).is_err();
    }
}
