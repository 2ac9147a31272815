//! Writes that the store applied late, after newer ones of the same writer.
//!
//! The load pattern: a store that loses responses, and applies such a write seconds later if its
//! condition still holds. Upstreams write their entries without conditions, so a late one reverts an
//! entry to an earlier state, or restores it after its removal.
//!
//! Invariants, for keys whose writers number their writes:
//! - The item that counts is the newest one by the writer's order, even if an older one is applied
//!   after it.
//! - After the removal of a key, an item of the same start of its writer does not count.
//! - Neither holds for longer than the lapse, within which the entry of an upstream that is gone is
//!   removed and one that is alive writes again. This bounds how long a live upstream is ignored whose
//!   clock or sequence number went back, or whose entry had expired.

use std::collections::HashMap;

use bytes::Bytes;
use log::info;

use redwingrill_routing::Era;
use redwingrill_routing::Revision;
use redwingrill_routing::WriteOrder;

/// A write by its place among those of its writer.
#[derive(Clone, Debug)]
struct Numbered {
    order: WriteOrder,
    revision: Revision,
    value: Bytes,
}

/// A write that is in the store and does not count.
#[derive(Clone, Debug)]
struct LateWrite {
    write: Numbered,
    // Since when the node has known it while the store answers; `None` until it is first judged.
    since_ms: Option<u64>,
}

/// The writes of a key.
#[derive(Clone, Debug)]
struct KeyHistory {
    // The newest write by the writer's order.
    newest: Numbered,
    // The removal of the key after `newest`.
    removed_at: Option<Revision>,
    late: Option<LateWrite>,
}

/// What counts for a key that has an item in the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Counted<'a> {
    /// The item in the store.
    Stored,
    /// An item that the store had before.
    Earlier(Revision, &'a Bytes),
    /// Nothing: the key was removed.
    Nothing,
}

/// An entry of an update for a peer.
type UpdateEntry = (String, u64, Option<Vec<u8>>);

/// The keys whose writers number their writes.
#[derive(Clone, Debug, Default)]
pub(super) struct LateWrites {
    by_key: HashMap<String, KeyHistory>,
    era: Era,
    lapse_ms: u64,
}

impl KeyHistory {
    fn new(newest: Numbered) -> Self {
        Self { newest, removed_at: None, late: None }
    }

    /// Returns whether the key was removed after an item of the same start.
    fn is_removed_start(&self, order: WriteOrder) -> bool {
        self.removed_at.is_some() && self.newest.order.started_unix_ms == order.started_unix_ms
    }

    /// Records a write. Returns whether what counts may have changed.
    fn observe(&mut self, key: &str, write: Numbered) -> bool {
        if write.revision <= self.newest.revision {
            return self.observe_earlier(write);
        }
        if self.removed_at.is_some_and(|removed_at| write.revision <= removed_at) {
            return false;
        }
        if write.order < self.newest.order || self.is_removed_start(write.order) {
            let is_known =
                self.late.as_ref().is_some_and(|late| late.write.revision >= write.revision);
            if !is_known {
                info!(
                    "event=write_done_late key={key} revision={} order={} newest_revision={} \
                     newest_order={} is_removed={}",
                    write.revision,
                    write.order,
                    self.newest.revision,
                    self.newest.order,
                    self.removed_at.is_some(),
                );
                self.late = Some(LateWrite { write, since_ms: None });
            }
            return !is_known;
        }
        *self = Self::new(write);
        true
    }

    /// Records a write that was applied before `newest` and that a peer reports afterwards. If it is
    /// newer by the writer's order, `newest` was applied late.
    fn observe_earlier(&mut self, write: Numbered) -> bool {
        if write.order <= self.newest.order {
            return false;
        }
        let late = std::mem::replace(&mut self.newest, write);
        if self.removed_at.is_none() && self.late.is_none() {
            self.late = Some(LateWrite { write: late, since_ms: None });
        }
        true
    }

    /// Records the removal of the key.
    fn observe_removal(&mut self, revision: Revision) -> bool {
        if revision <= self.newest.revision || self.removed_at.is_some_and(|at| at >= revision) {
            return false;
        }
        self.removed_at = Some(revision);
        self.late = self.late.take().filter(|late| late.write.revision > revision);
        true
    }

    /// Records a write without a number, which supersedes a late one before it.
    fn observe_unnumbered(&mut self, revision: Revision) -> bool {
        let late = self.late.take_if(|late| late.write.revision < revision);
        late.is_some()
    }

    /// Lets a late write count if it has stood for the lapse. Returns whether it does.
    fn settle(&mut self, now_ms: u64, lapse_ms: u64, is_returning: bool) -> bool {
        let Some(late) = &mut self.late else { return false };
        let is_due = if is_returning {
            late.since_ms = Some(now_ms);
            // Entries of live upstreams may have expired, and are written again.
            late.write.order >= self.newest.order
        } else {
            now_ms.saturating_sub(*late.since_ms.get_or_insert(now_ms)) >= lapse_ms
        };
        if is_due && let Some(late) = self.late.take() {
            *self = Self::new(late.write);
        }
        is_due
    }
}

impl LateWrites {
    /// Creates an empty record; a late write does not count for up to `lapse_ms`.
    pub fn new(lapse_ms: u64) -> Self {
        Self { lapse_ms, ..Self::default() }
    }

    /// Records a change of a key, from any source and in any order; `order` is that of the value, if
    /// its writer numbers its writes. Returns whether what counts may have changed.
    pub fn observe(
        &mut self,
        key: &str,
        revision: Revision,
        value: Option<&Bytes>,
        order: Option<WriteOrder>,
    ) -> bool {
        if self.era < revision.era() {
            // The copy has earlier numbers of the same writers.
            self.by_key.clear();
            self.era = revision.era();
        }
        let history = self.by_key.get_mut(key);
        match (value, order) {
            (None, _) => history.is_some_and(|history| history.observe_removal(revision)),
            (Some(value), Some(order)) => {
                let write = Numbered { order, revision, value: value.clone() };
                match history {
                    Some(history) => history.observe(key, write),
                    None => {
                        self.by_key.insert(key.to_owned(), KeyHistory::new(write));
                        true
                    }
                }
            }
            (Some(_), None) => history.is_some_and(|history| history.observe_unnumbered(revision)),
        }
    }

    /// Returns what counts for a key that has an item in the store.
    pub fn counted(&self, key: &str) -> Counted<'_> {
        match self.by_key.get(key) {
            None | Some(KeyHistory { late: None, .. }) => Counted::Stored,
            Some(KeyHistory { removed_at: Some(_), .. }) => Counted::Nothing,
            Some(KeyHistory { newest, .. }) => Counted::Earlier(newest.revision, &newest.value),
        }
    }

    /// Returns the earlier changes from which a peer learns that items of the store do not count.
    pub fn earlier_changes(&self) -> impl Iterator<Item = UpdateEntry> {
        let judged = self.by_key.iter().filter(|(_, history)| history.late.is_some());
        judged.flat_map(|(key, KeyHistory { newest, removed_at, .. })| {
            let write = (key.clone(), newest.revision.as_u64(), Some(newest.value.to_vec()));
            let removal = removed_at.map(|at| (key.clone(), at.as_u64(), None));
            std::iter::once(write).chain(removal)
        })
    }

    /// Lets late writes count that have stood for the lapse; `is_returning` states whether entries may
    /// have expired because the store is, or has just been, unavailable.
    pub fn settle(&mut self, now_ms: u64, is_returning: bool) {
        for (key, history) in &mut self.by_key {
            if history.settle(now_ms, self.lapse_ms, is_returning) {
                info!("event=late_write_counts key={key} order={}", history.newest.order);
            }
        }
    }

    /// Returns when a late write counts, unless the store becomes unavailable.
    pub fn next_due_ms(&self) -> Option<u64> {
        let late = self.by_key.values().filter_map(|history| history.late.as_ref());
        late.filter_map(|late| late.since_ms).min().map(|since_ms| since_ms + self.lapse_ms)
    }

    /// Forgets the keys for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_key.retain(|key, _| is_known(key));
    }
}
