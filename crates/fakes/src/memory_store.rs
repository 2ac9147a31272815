//! An in-memory implementation of the platform's store.
//!
//! Invariants: the revision increases by one with each write that takes effect, and the history
//! holds every change since the last compaction in revision order. The exception is
//! [`MemoryStore::restore`], which resets both to the saved copy, as a restore from a backup does.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Faults;
use crate::WriteFault;
use redwingrill_ports::Change;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;
use redwingrill_ports::Watch;

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The number of calls of each kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct CallCounts {
    /// Reads of a key or a prefix.
    pub reads: u64,
    /// Swaps and deletions, including those that did not take effect.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Lease grants and renewals.
    pub leases: u64,
    /// Calls refused by the rate limit.
    pub refused: u64,
}

impl CallCounts {
    /// Returns the total number of calls.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches + self.leases
    }
}

#[derive(Clone, Debug)]
struct StoredEntry {
    entry: Entry,
    lease: Option<LeaseId>,
}

#[derive(Clone, Debug)]
struct LeaseState {
    ttl: Duration,
    expires_at: Instant,
}

/// The data of the store, which [`MemoryStore::save`] copies and [`MemoryStore::restore`] replaces.
#[derive(Clone, Debug, Default)]
struct Data {
    revision: u64,
    entries: BTreeMap<String, StoredEntry>,
    history: Vec<Change>,
    leases: HashMap<i64, LeaseState>,
    next_lease: i64,
}

#[derive(Debug, Default)]
struct State {
    data: Data,
    saved: Option<Data>,
    faults: Faults,
    counts: CallCounts,
    rate_window_start: Option<Instant>,
    rate_window_calls: u32,
    first_unsilenced_watch: u64,
    next_watch_id: u64,
}

/// An in-memory [`Store`]. Clones share the data.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    // Notifies waiting calls and watches of every change of data or faults.
    changed: Arc<watch::Sender<u64>>,
}

enum CallKind {
    Read,
    Write,
    Watch,
    Lease,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self { state: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }

    /// Sets the active faults. Calls that hang because the store is frozen continue once it is not.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.silent_watches && !state.faults.silent_watches {
            state.first_unsilenced_watch = state.next_watch_id;
        }
        state.faults = faults;
        drop(state);
        self.notify();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Returns the call counts so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Saves a copy of the data for [`MemoryStore::restore`].
    pub fn save(&self) {
        let mut state = self.lock();
        state.saved = Some(state.data.clone());
    }

    /// Restores the copy saved by [`MemoryStore::save`], as a restore from an old backup does.
    pub fn restore(&self) {
        let mut state = self.lock();
        if let Some(saved) = state.saved.clone() {
            state.data = saved;
        }
        drop(state);
        self.notify();
    }

    /// Drops the history, so that a watch from an older revision fails.
    pub fn compact(&self) {
        self.lock().data.history.clear();
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> Revision {
        Revision(self.lock().data.revision)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Counts a call, then applies the faults that fail or delay it.
    async fn begin_call(&self, kind: CallKind) -> Result<(), StoreError> {
        self.count(kind)?;
        let mut changed = self.changed.subscribe();
        loop {
            let faults = self.faults();
            if faults.down {
                return Err(StoreError::Unavailable { reason: "switched off".to_owned() });
            }
            if !faults.frozen {
                break;
            }
            // The store holds the sender, so the wait cannot fail.
            changed.changed().await.expect("the store holds the sender");
        }
        let delay = self.faults().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.expire_leases();
        Ok(())
    }

    fn count(&self, kind: CallKind) -> Result<(), StoreError> {
        let now = Instant::now();
        let mut state = self.lock();
        match kind {
            CallKind::Read => state.counts.reads += 1,
            CallKind::Write => state.counts.writes += 1,
            CallKind::Watch => state.counts.watches += 1,
            CallKind::Lease => state.counts.leases += 1,
        }
        if state.rate_window_start.is_none_or(|start| now - start >= RATE_WINDOW) {
            state.rate_window_start = Some(now);
            state.rate_window_calls = 0;
        }
        state.rate_window_calls += 1;
        let limit = state.faults.calls_per_s_limit;
        if limit > 0 && state.rate_window_calls > limit {
            state.counts.refused += 1;
            return Err(StoreError::RateLimited);
        }
        Ok(())
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let data = &mut state.data;
        data.leases.retain(|_, lease| lease.expires_at > now);
        let expired_keys: Vec<String> = data
            .entries
            .values()
            .filter(|stored| stored.lease.is_some_and(|id| !data.leases.contains_key(&id.0)))
            .map(|stored| stored.entry.key.clone())
            .collect();
        for key in &expired_keys {
            data.delete(key);
        }
        drop(state);
        if !expired_keys.is_empty() {
            self.notify();
        }
    }

    /// Applies a write, or loses the request or the response according to the write fault.
    fn write<T>(&self, apply: impl FnOnce(&mut Data) -> T) -> Result<T, StoreError> {
        let mut state = self.lock();
        let fault = state.faults.write;
        if fault == WriteFault::LoseRequest {
            return Err(StoreError::ResponseLost { reason: "call lost".to_owned() });
        }
        let outcome = apply(&mut state.data);
        drop(state);
        self.notify();
        match fault {
            WriteFault::LoseResponse => {
                Err(StoreError::ResponseLost { reason: "response lost".to_owned() })
            }
            _ => Ok(outcome),
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Bytes, lease: Option<LeaseId>) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        let entry = Entry { key: key.to_owned(), value, revision };
        self.history.push(Change::Put(entry.clone()));
        self.entries.insert(key.to_owned(), StoredEntry { entry, lease });
        revision
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.history.push(Change::Delete { key: key.to_owned(), revision });
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| stored.entry.clone())
    }
}

fn change_key(change: &Change) -> (&str, Revision) {
    match change {
        Change::Put(entry) => (&entry.key, entry.revision),
        Change::Delete { key, revision } => (key, *revision),
    }
}

impl Store for MemoryStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.begin_call(CallKind::Read).await?;
        Ok(self.lock().data.entry(key))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.begin_call(CallKind::Read).await?;
        let state = self.lock();
        let range = state.data.entries.range(prefix.to_owned()..);
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        Ok(matching.map(|(_, stored)| stored.entry.clone()).collect())
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.begin_call(CallKind::Write).await?;
        // As in etcd, a write under an expired or unknown lease fails.
        if lease.is_some_and(|lease| !self.lock().data.leases.contains_key(&lease.0)) {
            return Err(StoreError::Unavailable { reason: "lease not found".to_owned() });
        }
        self.write(|data| {
            let existing = data.entry(key);
            let matches = match expected {
                Expected::Absent => existing.is_none(),
                Expected::At(revision) => existing.as_ref().is_some_and(|e| e.revision == revision),
            };
            if matches { Swap::Done(data.put(key, value, lease)) } else { Swap::Conflict(existing) }
        })
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<bool, StoreError> {
        self.begin_call(CallKind::Write).await?;
        self.write(|data| {
            let matches = data.entry(key).is_some_and(|entry| entry.revision == expected);
            if matches {
                data.delete(key);
            }
            matches
        })
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<MemoryWatch, StoreError> {
        self.begin_call(CallKind::Watch).await?;
        let mut state = self.lock();
        let oldest = state.data.history.first().map(|change| change_key(change).1);
        let oldest_retained = oldest.map_or(state.data.revision + 1, |revision| revision.0);
        if from.0 != 0 && from.0 < oldest_retained {
            return Err(StoreError::Compacted);
        }
        let watch_id = state.next_watch_id;
        state.next_watch_id += 1;
        Ok(MemoryWatch {
            store: self.clone(),
            watch_id,
            prefix: prefix.to_owned(),
            next_revision: from,
            changed: self.changed.subscribe(),
        })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.begin_call(CallKind::Lease).await?;
        self.write(|data| {
            data.next_lease += 1;
            let lease = LeaseState { ttl, expires_at: Instant::now() + ttl };
            data.leases.insert(data.next_lease, lease);
            LeaseId(data.next_lease)
        })
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.begin_call(CallKind::Lease).await?;
        self.write(|data| match data.leases.get_mut(&lease.0) {
            Some(state) => {
                state.expires_at = Instant::now() + state.ttl;
                true
            }
            None => false,
        })
    }
}

/// A watch on a [`MemoryStore`].
#[derive(Debug)]
pub struct MemoryWatch {
    store: MemoryStore,
    watch_id: u64,
    prefix: String,
    next_revision: Revision,
    changed: watch::Receiver<u64>,
}

impl MemoryWatch {
    fn poll_change(&mut self) -> Option<Change> {
        let state = self.store.lock();
        let faults = &state.faults;
        let silenced = faults.silent_watches && self.watch_id < state.first_unsilenced_watch;
        if faults.down || faults.frozen || silenced {
            return None;
        }
        let change = state.data.history.iter().find(|change| {
            let (key, revision) = change_key(change);
            revision >= self.next_revision && key.starts_with(&self.prefix)
        })?;
        self.next_revision = Revision(change_key(change).1.0 + 1);
        Some(change.clone())
    }
}

impl Watch for MemoryWatch {
    async fn next(&mut self) -> Result<Change, StoreError> {
        loop {
            self.changed.borrow_and_update();
            self.store.expire_leases();
            if let Some(change) = self.poll_change() {
                return Ok(change);
            }
            self.changed.changed().await.expect("the store holds the sender");
        }
    }
}
