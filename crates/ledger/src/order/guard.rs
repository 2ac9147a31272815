//! The guard that releases or withdraws a running order when it is dropped.

use crate::AttemptId;
use crate::Fingerprint;
use crate::OrderKey;
use crate::record::Action;
use crate::record::Operation;
use crate::task::Ledger;

/// What the guard does when it is dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum DropAction {
    /// Withdraws the attempt: it has not sent and never will.
    Withdraw,
    /// Releases the order on this node and leaves its record unchanged.
    Release,
    /// Nothing: the order is released elsewhere.
    Nothing,
}

/// Keeps an order registered as running on this node, and possibly owns its record.
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
