//! The items of the store, its revisions and leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::http::Txn;

/// How the store fails its callers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum StoreFault {
    /// It answers.
    #[default]
    None,
    /// It answers 503 and does nothing.
    Busy,
    /// It never answers.
    Silent,
    /// It does what is asked and does not answer.
    LosesAnswers,
    /// It keeps no history: each watch gets 410.
    KeepsNoHistory,
}

#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub value: Vec<u8>,
    pub rev: u64,
    pub created: u64,
    pub lease: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Event {
    pub key: String,
    pub rev: u64,
    pub stored: Option<Stored>,
}

#[derive(Debug, Default)]
pub(super) struct Inner {
    pub items: BTreeMap<String, Stored>,
    pub history: Vec<Event>,
    pub history_from: u64,
    pub rev: u64,
    pub leases: BTreeMap<u64, (Duration, Instant)>,
    /// How often the store came back from a copy.
    pub era: u64,
    pub fault: StoreFault,
    pub calls: u64,
    /// The key whose next write is held.
    pub held_key: Option<String>,
    pub held_write: Option<Txn>,
    // The last writes of the operator and the engines; `None` for a removal.
    outside: BTreeMap<String, Option<Vec<u8>>>,
}

/// A copy of the store, from which it can come back.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, Stored>,
    rev: u64,
    leases: BTreeMap<u64, Duration>,
}

/// The state of the store. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    inner: Arc<Mutex<Inner>>,
    pub(super) changed: Arc<Notify>,
}

impl StoreState {
    /// Writes a key as the operator or an engine does. Returns the revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        let value = value.into();
        let mut inner = self.lock();
        inner.outside.insert(key.to_owned(), Some(value.clone()));
        let rev = inner.put(key, value, 0);
        drop(inner);
        self.changed.notify_waiters();
        rev
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut inner = self.lock();
        inner.outside.insert(key.to_owned(), None);
        inner.remove(key);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Makes a copy.
    pub fn copy(&self) -> StoreCopy {
        let inner = self.lock();
        let leases = inner.leases.iter().map(|(lease, (ttl, _))| (*lease, *ttl)).collect();
        StoreCopy { items: inner.items.clone(), rev: inner.rev, leases }
    }

    /// Comes back from a copy. All changes since are lost with their leases, and revisions and
    /// leases are given out again from there.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut inner = self.lock();
        let now = Instant::now();
        inner.items = copy.items.clone();
        inner.rev = copy.rev;
        inner.leases = copy.leases.iter().map(|(id, ttl)| (*id, (*ttl, now + *ttl))).collect();
        inner.history.clear();
        inner.history_from = copy.rev;
        inner.era += 1;
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Lets the operator and the engines write again what a restored store has lost.
    pub fn write_lost_again(&self) {
        let mut inner = self.lock();
        for (key, value) in inner.outside.clone() {
            match value {
                Some(value) if inner.items.get(&key).is_none_or(|item| item.value != value) => {
                    inner.put(&key, value, 0);
                }
                Some(_) => {}
                None => inner.remove(&key),
            }
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|stored| stored.value.clone())
    }

    /// Drops the history, so that watches must list anew.
    pub fn drop_history(&self) {
        let mut inner = self.lock();
        inner.history.clear();
        inner.history_from = inner.rev;
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Switches how the store fails.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.changed.notify_waiters();
    }

    /// Gives no answer to the next write of a key by a node, and holds it.
    pub fn hold_next_write(&self, key: &str) {
        self.lock().held_key = Some(key.to_owned());
    }

    /// Returns whether a write is held.
    pub fn has_held_write(&self) -> bool {
        self.lock().held_write.is_some()
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().expect("no holder panics");
        inner.expire();
        inner
    }
}

impl Inner {
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |stored| stored.created);
        let stored = Stored { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), stored.clone());
        let event = Event { key: key.to_owned(), rev: self.rev, stored: Some(stored) };
        self.history.push(event);
        self.rev
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push(Event { key: key.to_owned(), rev: self.rev, stored: None });
        }
    }

    pub fn end_lease(&mut self, lease: u64) -> bool {
        let held = self.items.iter().filter(|(_, stored)| stored.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    /// Returns when the next lease ends.
    pub fn next_lease_end(&self) -> Option<Instant> {
        self.leases.values().map(|(_, end)| *end).min()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}
