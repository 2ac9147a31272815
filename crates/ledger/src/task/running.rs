//! The orders that run on this node, and the limit per client account.
//!
//! Invariant, checked by [`RunningOrders::verify`]: the count of a client account at a service
//! equals the number of its entries, and an account without entries has no count.

use std::collections::HashMap;
use std::sync::Arc;

use crate::AttemptId;
use crate::Fingerprint;
use crate::OrderKey;
use crate::Outcome;

/// A request for admission of an order on this node.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AdmissionRequest {
    /// The key of the order.
    pub key: OrderKey,
    /// The client account's name.
    pub account: Arc<str>,
    /// The attempt.
    pub attempt: AttemptId,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The maximum number of the account's orders in flight at the service; zero for no limit.
    pub in_flight_limit: u32,
}

/// The result of an admission request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Admission {
    /// The order may run on this node.
    Admitted,
    /// The same order is running.
    InFlight,
    /// The key was used for a different request.
    KeyReused,
    /// The order is finished, and its outcome is being written to the store.
    Finished(Outcome),
    /// The account has too many orders in flight.
    WindowFull,
    /// An earlier attempt on this node was not sent, and its withdrawal is being written to the
    /// store.
    Withdrawing,
    /// The process was paused, and the order may have been queued for the whole pause.
    Paused,
}

#[derive(Debug)]
struct Entry {
    account: Arc<str>,
    attempt: AttemptId,
    fingerprint: Fingerprint,
    outcome: Option<Outcome>,
    withdrawing: bool,
}

/// The orders that run on this node.
#[derive(Debug, Default)]
pub(super) struct RunningOrders {
    entries: HashMap<OrderKey, Entry>,
    counts: HashMap<(Arc<str>, Arc<str>), u32>,
}

impl RunningOrders {
    /// Decides whether an order may run, and registers it if so.
    pub(super) fn admit(&mut self, request: AdmissionRequest) -> Admission {
        if let Some(entry) = self.entries.get(&request.key) {
            return entry.admission(request.fingerprint);
        }
        let count_key = (request.key.service.clone(), request.account.clone());
        let count = self.counts.get(&count_key).copied().unwrap_or(0);
        if request.in_flight_limit > 0 && count >= request.in_flight_limit {
            return Admission::WindowFull;
        }
        self.counts.insert(count_key, count + 1);
        let AdmissionRequest { key, account, attempt, fingerprint, .. } = request;
        let (outcome, withdrawing) = (None, false);
        let entry = Entry { account, attempt, fingerprint, outcome, withdrawing };
        self.entries.insert(key, entry);
        Admission::Admitted
    }

    /// Keeps the outcome of an order until it is stored.
    pub(super) fn finish(&mut self, key: &OrderKey, attempt: AttemptId, outcome: &Outcome) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.attempt == attempt) {
            entry.outcome = Some(outcome.clone());
        }
    }

    /// Marks an attempt as withdrawn: it will never send.
    pub(super) fn withdraw(&mut self, key: &OrderKey, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.attempt == attempt) {
            entry.withdrawing = true;
        }
    }

    /// Removes an order, if `attempt` is the one that runs it.
    pub(super) fn release(&mut self, key: &OrderKey, attempt: AttemptId) {
        if self.entries.get(key).is_none_or(|entry| entry.attempt != attempt) {
            return;
        }
        let Some(entry) = self.entries.remove(key) else { return };
        let count_key = (key.service.clone(), entry.account);
        if let Some(count) = self.counts.get_mut(&count_key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&count_key);
            }
        }
        debug_assert!(self.verify());
    }

    /// Returns the number of running orders.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of finished orders whose outcome is not yet stored.
    pub(super) fn finishing(&self) -> usize {
        self.entries.values().filter(|entry| entry.outcome.is_some()).count()
    }

    /// Checks the invariant.
    fn verify(&self) -> bool {
        let total: u32 = self.counts.values().sum();
        total as usize == self.entries.len() && self.counts.values().all(|count| *count > 0)
    }
}

impl Entry {
    fn admission(&self, fingerprint: Fingerprint) -> Admission {
        match &self.outcome {
            _ if self.fingerprint != fingerprint => Admission::KeyReused,
            Some(outcome) => Admission::Finished(outcome.clone()),
            None if self.withdrawing => Admission::Withdrawing,
            None => Admission::InFlight,
        }
    }
}
