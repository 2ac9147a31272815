//! The keys of a shard's sealed pages.

use std::collections::BTreeMap;

use crate::KeyHash;
use crate::layout::Page;

/// What is kept in memory of a sealed page.
#[derive(Debug)]
pub(super) struct SealedPage {
    /// The short hashes of the keys, sorted.
    pub(super) keys: Vec<u64>,
    /// When a record was last added.
    pub(super) changed_at_ms: u64,
    /// Whether only the short hashes are left in the store.
    pub(super) retired: bool,
}

/// The sealed pages of a shard by slice.
#[derive(Debug, Default)]
pub(super) struct SealedIndex {
    pages: BTreeMap<u64, SealedPage>,
}

impl SealedIndex {
    /// Takes a sealed page, or one that was retired since.
    pub(super) fn insert(&mut self, slice: u64, page: &Page) {
        let sealed = SealedPage {
            keys: page.short_keys(),
            changed_at_ms: page.changed_at_ms,
            retired: page.records.is_empty(),
        };
        self.pages.insert(slice, sealed);
    }

    /// Returns the slice whose page holds a key.
    pub(super) fn find(&self, key: KeyHash) -> Option<(u64, &SealedPage)> {
        let short = key.short();
        // Retries come soon after the first call, so the newest pages go first.
        let mut newest_first = self.pages.iter().rev();
        let found = newest_first.find(|(_, page)| page.keys.binary_search(&short).is_ok());
        found.map(|(slice, page)| (*slice, page))
    }

    /// Returns the pages, the oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &SealedPage)> {
        self.pages.iter().map(|(slice, page)| (*slice, page))
    }

    /// Forgets a page that was deleted.
    pub(super) fn remove(&mut self, slice: u64) {
        self.pages.remove(&slice);
    }

    /// Forgets all pages.
    pub(super) fn clear(&mut self) {
        self.pages.clear();
    }

    /// Returns how many pages are known.
    pub(super) fn len(&self) -> usize {
        self.pages.len()
    }

    /// Returns how many keys are known.
    pub(super) fn keys(&self) -> usize {
        self.pages.values().map(|page| page.keys.len()).sum()
    }
}
