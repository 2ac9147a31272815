//! The hold of a running order on its place in the ledger.

use crate::AttemptId;
use crate::Fingerprint;
use crate::OrderKey;
use crate::record::Action;
use crate::record::Operation;
use crate::task::Ledger;

/// What happens when the hold is dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum DropAction {
    /// The attempt gives up: it has not sent, and it never will.
    Withdraw,
    /// The order is let go and its record stays as it is.
    Release,
    /// The order is let go elsewhere.
    Nothing,
}

/// A place among the orders that run on this node, and maybe the record.
#[derive(Debug)]
pub(super) struct OrderGuard {
    pub(super) ledger: Ledger,
    pub(super) key: OrderKey,
    pub(super) attempt: AttemptId,
    pub(super) window_ms: u64,
    pub(super) on_drop: DropAction,
    fingerprint: Fingerprint,
}

impl OrderGuard {
    pub(super) fn new(
        ledger: Ledger,
        key: OrderKey,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        window_ms: u64,
    ) -> Self {
        Self { ledger, key, attempt, window_ms, on_drop: DropAction::Release, fingerprint }
    }

    pub(super) fn operation(&self, action: Action) -> Operation {
        Operation { key: self.key.clone(), attempt: self.attempt, action }
    }
}

impl Drop for OrderGuard {
    fn drop(&mut self) {
        match self.on_drop {
            DropAction::Withdraw => {
                let operation = self.operation(Action::Withdraw(self.fingerprint));
                self.ledger.settle(operation, self.window_ms);
            }
            DropAction::Release => self.ledger.release(self.key.clone(), self.attempt),
            DropAction::Nothing => {}
        }
    }
}
