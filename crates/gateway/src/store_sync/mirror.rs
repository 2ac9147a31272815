//! The mirror of the store: items by key, each with its revision.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::late_writes::Counted;
use super::late_writes::LateWrites;
use redwingrill_routing::Change;
use redwingrill_routing::Item;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::Listing;
use redwingrill_routing::Revision;
use redwingrill_routing::WriteOrder;

/// The limit of removed keys that are kept for peers; the oldest are evicted first.
const REMOVED_KEYS_LIMIT: usize = 2_048;

/// One key at its latest known revision.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MirrorEntry {
    /// The revision of the last change.
    pub revision: Revision,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// The changes after a revision, as sent to a peer.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MirrorUpdate {
    /// The requested revision.
    pub after: u64,
    /// A receiver that was complete up to the requested revision is complete up to this one.
    pub complete_to: u64,
    /// Keys with the revision of their last change, and the value unless the key was removed.
    pub entries: Vec<(String, u64, Option<Vec<u8>>)>,
    /// How the update tells of removed keys.
    pub removals: Removals,
}

/// How an update tells of the keys that were removed after the requested revision.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Removals {
    /// They are among the entries.
    InEntries,
    /// The sender may not have seen them: it learned of the store's items by a listing later than
    /// the requested revision. Only the keys of the entries and these exist.
    AllBut(Vec<String>),
}

/// The items of the store.
///
/// Invariants:
/// - Neither the revision of a key nor `complete_to` decreases. A later era is always higher.
/// - All existing items are of the era of `complete_to`: what an era has lost goes as a whole.
/// - The existing items up to `complete_to` are those of the store. So a change up to it of an unknown
///   key has been superseded by the removal of the key.
/// - What counts of the items is decided by their writers' order; see `late_writes`.
/// - Every removal after `history_start` is among the entries. Nothing is concluded from the absence
///   of an older one.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    entries: HashMap<String, MirrorEntry>,
    removed: usize,
    complete_to: Revision,
    history_start: Revision,
    late_writes: LateWrites,
    orders: WriteOrders,
}

/// Reads the order of writes from their values; a default one reads none.
#[derive(Clone, Default)]
struct WriteOrders(Option<Arc<dyn ItemCodec>>);

impl WriteOrders {
    fn read(&self, key: &str, value: Option<&Bytes>) -> Option<WriteOrder> {
        self.0.as_ref()?.write_order(key, value?)
    }
}

impl fmt::Debug for WriteOrders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WriteOrders").finish_non_exhaustive()
    }
}

impl StoreMirror {
    /// Creates an empty mirror. A write that the store applied late does not count for up to `lapse`.
    pub fn new(codec: Arc<dyn ItemCodec>, lapse: Duration) -> Self {
        Self {
            late_writes: LateWrites::new(lapse.as_millis() as u64),
            orders: WriteOrders(Some(codec)),
            ..Self::default()
        }
    }

    /// Returns the revision up to which every change is known.
    pub fn complete_to(&self) -> Revision {
        self.complete_to
    }

    /// Returns the items that count: those of the store, except that the newest item of its writer, if
    /// any, replaces one that was applied late.
    pub fn items(&self) -> impl Iterator<Item = (&str, Revision, &Bytes)> {
        self.stored_items().filter_map(|(key, revision, value)| {
            match self.late_writes.counted(key) {
                Counted::Stored => Some((key, revision, value)),
                Counted::Earlier(revision, value) => Some((key, revision, value)),
                Counted::Nothing => None,
            }
        })
    }

    /// Lets late writes count that have stood for the lapse; `is_returning` states whether items may
    /// have expired because the store is, or has just been, unavailable.
    pub fn settle(&mut self, now_ms: u64, is_returning: bool) {
        self.late_writes.settle(now_ms, is_returning);
    }

    /// Returns when to settle again although nothing changes, in milliseconds on the node's clock.
    pub fn next_settle_ms(&self) -> Option<u64> {
        self.late_writes.next_due_ms()
    }

    /// Returns the existing items of the store.
    fn stored_items(&self) -> impl Iterator<Item = (&str, Revision, &Bytes)> {
        self.entries.iter().filter_map(|(key, entry)| {
            entry.value.as_ref().map(|value| (key.as_str(), entry.revision, value))
        })
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Option<&MirrorEntry> {
        self.entries.get(key)
    }

    /// Applies a change. Returns whether the mirror changed.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Put(Item { key, value, revision }) => self.set(key, revision, Some(value)),
            Change::Removed { key, revision } => self.set(key, revision, None),
        }
    }

    /// Applies a batch of consecutive changes. Returns whether the mirror changed.
    pub fn apply_batch(&mut self, changes: Vec<Change>, complete_to: Revision) -> bool {
        let mut has_changed = false;
        for change in changes {
            has_changed |= self.apply(change);
        }
        has_changed | self.advance(complete_to)
    }

    /// Applies a complete listing. Keys that it lacks are removed unless they changed after its
    /// revision. Returns whether the mirror changed.
    pub fn apply_listing(&mut self, listing: Listing) -> bool {
        let complete_to = listing.complete_to;
        let mut has_changed = false;
        let mut listed = HashSet::with_capacity(listing.items.len());
        for item in listing.items {
            listed.insert(item.key.clone());
            has_changed |= self.set(item.key, item.revision, Some(item.value));
        }
        has_changed | self.retain_listed(complete_to, &listed)
    }

    /// Advances to a revision up to which only the listed keys exist. Keys that changed after it are
    /// retained. Returns whether an item was removed.
    fn retain_listed(&mut self, complete_to: Revision, listed: &HashSet<String>) -> bool {
        let has_changed = self.remove_all(complete_to, |key, entry| {
            entry.revision <= complete_to && !listed.contains(key)
        });
        if complete_to > self.complete_to {
            // Keys may have come and gone since the last known revision.
            self.history_start = complete_to;
        }
        has_changed | self.advance(complete_to)
    }

    /// Returns the changes after a revision, for a peer.
    pub fn update_after(&self, after: Revision) -> MirrorUpdate {
        let newer = self.entries.iter().filter(|(_, entry)| entry.revision > after);
        let entries = newer.map(|(key, entry)| {
            let value = entry.value.as_ref().map(|value| value.to_vec());
            (key.clone(), entry.revision.as_u64(), value)
        });
        let removals = match after >= self.history_start {
            true => Removals::InEntries,
            false => {
                let unchanged = self.stored_items().filter(|(_, revision, _)| *revision <= after);
                Removals::AllBut(unchanged.map(|(key, ..)| key.to_owned()).collect())
            }
        };
        MirrorUpdate {
            after: after.as_u64(),
            complete_to: self.complete_to.as_u64(),
            entries: self.late_writes.earlier_changes().chain(entries).collect(),
            removals,
        }
    }

    /// Applies an update from a peer. Returns whether the mirror changed. An update of a later era
    /// has all items, since each of them is newer than any revision that was asked for.
    pub fn apply_update(&mut self, update: MirrorUpdate) -> bool {
        // An update that begins later lacks the changes before it.
        if Revision::from_u64(update.after) > self.complete_to {
            return false;
        }
        let complete_to = Revision::from_u64(update.complete_to);
        let mut existing = match update.removals {
            Removals::InEntries => None,
            Removals::AllBut(keys) => Some(HashSet::from_iter(keys)),
        };
        let mut has_changed = false;
        for (key, revision, value) in update.entries {
            let revision = Revision::from_u64(revision);
            let is_item = value.is_some() && revision > Revision::from_u64(update.after);
            if let Some(existing) = existing.as_mut().filter(|_| is_item) {
                existing.insert(key.clone());
            }
            has_changed |= self.set(key, revision, value.map(Bytes::from));
        }
        match existing {
            Some(existing) => has_changed | self.retain_listed(complete_to, &existing),
            None => has_changed | self.advance(complete_to),
        }
    }

    /// Raises `complete_to`, and removes what a later era has lost. Returns whether an item was
    /// removed.
    fn advance(&mut self, complete_to: Revision) -> bool {
        if complete_to <= self.complete_to {
            return false;
        }
        if self.complete_to.era() < complete_to.era() {
            // What a later era lacks is not known as removals.
            self.history_start = complete_to;
        }
        self.complete_to = complete_to;
        self.remove_all(complete_to, |_, entry| entry.revision.era() < complete_to.era())
    }

    /// Removes all items that `is_gone` names. Returns whether there was one.
    fn remove_all(
        &mut self,
        revision: Revision,
        is_gone: impl Fn(&str, &MirrorEntry) -> bool,
    ) -> bool {
        let gone = self.entries.iter().filter(|(key, e)| e.value.is_some() && is_gone(key, e));
        let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        gone.into_iter().fold(false, |changed, key| changed | self.set(key, revision, None))
    }

    fn set(&mut self, key: String, revision: Revision, value: Option<Bytes>) -> bool {
        if revision.era() < self.complete_to.era() {
            return false;
        }
        let order = self.orders.read(&key, value.as_ref());
        let counts_anew = self.late_writes.observe(&key, revision, value.as_ref(), order);
        counts_anew | self.store(key, revision, value)
    }

    fn store(&mut self, key: String, revision: Revision, value: Option<Bytes>) -> bool {
        let known = self.entries.get(&key);
        // A removal found by a listing has the revision of the listing, so an equal revision is not
        // a change.
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        if known.is_none() && value.is_some() && revision <= self.complete_to {
            return false;
        }
        if known.is_some_and(|known| known.value.is_none()) {
            self.removed -= 1;
        }
        // The removal of an unknown key is kept, since an older change of it may come later.
        let has_changed = known.is_some() || value.is_some();
        if value.is_none() {
            self.removed += 1;
        }
        self.entries.insert(key, MirrorEntry { revision, value });
        if self.removed > REMOVED_KEYS_LIMIT {
            self.evict_removed();
        }
        has_changed
    }

    fn evict_removed(&mut self) {
        let removed = self.entries.values().filter(|entry| entry.value.is_none());
        let mut revisions: Vec<Revision> = removed.map(|entry| entry.revision).collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() / 2];
        self.history_start = self.history_start.max(oldest_kept);
        self.entries.retain(|_, entry| entry.value.is_some() || entry.revision >= oldest_kept);
        self.removed = self.entries.values().filter(|entry| entry.value.is_none()).count();
        self.late_writes.retain(|key| self.entries.contains_key(key));
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// A description of the first violated invariant.
    pub fn verify(&self) -> Result<(), String> {
        let removed = self.entries.values().filter(|entry| entry.value.is_none()).count();
        if removed != self.removed {
            return Err(format!("{removed} removed keys, counted {}", self.removed));
        }
        if self.history_start > self.complete_to {
            let (start, complete_to) = (self.history_start, self.complete_to);
            return Err(format!("history from {start}, complete to {complete_to}"));
        }
        let era = self.complete_to.era();
        match self.stored_items().find(|(_, revision, _)| revision.era() != era) {
            Some((key, revision, _)) => Err(format!("{key} at {revision} in era {era}")),
            None => Ok(()),
        }
    }
}
