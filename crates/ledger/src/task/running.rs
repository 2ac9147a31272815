//! The orders that run on this node, and the bound on them.
//!
//! Invariant, which [`RunningOrders::verify`] checks: the count of a client account at a service is the
//! number of its entries, and no account without entries has a count.

use std::collections::HashMap;
use std::sync::Arc;

use crate::AttemptId;
use crate::Fingerprint;
use crate::OrderKey;
use crate::Outcome;

/// A request to run an order on this node.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AdmissionRequest {
    /// The order.
    pub key: OrderKey,
    /// The client account's name.
    pub account: Arc<str>,
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The most orders of the account in flight at the service.
    pub in_flight_limit: u32,
}

/// Whether an order may run on this node.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Admission {
    /// It may.
    Admitted,
    /// The same order runs now.
    InFlight,
    /// The key stands for another request.
    KeyReused,
    /// The order is finished, and its outcome is on the way to the store.
    Finished(Outcome),
    /// The account has too many orders in flight.
    WindowFull,
    /// An earlier attempt here was not sent, and its withdrawal is on the way to the store.
    Withdrawing,
    /// The process was paused for long, and the order may be as old as the pause.
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
    /// Decides on an order, and takes it in if it may run.
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

    /// Keeps the outcome of an order until it is in the store.
    pub(super) fn finish(&mut self, key: &OrderKey, attempt: AttemptId, outcome: &Outcome) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.attempt == attempt) {
            entry.outcome = Some(outcome.clone());
        }
    }

    /// Notes that an attempt will never send.
    pub(super) fn withdraw(&mut self, key: &OrderKey, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.attempt == attempt) {
            entry.withdrawing = true;
        }
    }

    /// Lets an order go.
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

    /// Returns how many orders run.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many orders are finished and not yet in the store.
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
