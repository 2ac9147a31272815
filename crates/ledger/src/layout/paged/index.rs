//! The index of the keys in a shard's sealed pages.

use std::collections::BTreeMap;

use crate::KeyHash;
use crate::layout::Page;

/// The cached summary of a sealed page.
#[derive(Debug)]
pub(super) struct SealedPage {
    /// The short hashes of the keys, sorted.
    pub(super) keys: Vec<u64>,
    /// When a record was last added, by the wall clock in milliseconds.
    pub(super) changed_at_ms: u64,
    /// Whether the store has only the short hashes.
    pub(super) retired: bool,
}

/// The sealed pages of a shard, by slice.
#[derive(Debug, Default)]
pub(super) struct SealedIndex {
    pages: BTreeMap<u64, SealedPage>,
}

impl SealedIndex {
    /// Adds or replaces a sealed page.
    pub(super) fn insert(&mut self, slice: u64, page: &Page) {
        let sealed = SealedPage {
            keys: page.short_keys(),
            changed_at_ms: page.changed_at_ms,
            retired: page.records.is_empty(),
        };
        self.pages.insert(slice, sealed);
    }

    /// Returns the slice and the page that contain a key.
    pub(super) fn find(&self, key: KeyHash) -> Option<(u64, &SealedPage)> {
        let short = key.short();
        // Most retries follow soon after the first call, so search the newest pages first.
        let mut newest_first = self.pages.iter().rev();
        let found = newest_first.find(|(_, page)| page.keys.binary_search(&short).is_ok());
        found.map(|(slice, page)| (*slice, page))
    }

    /// Returns the pages, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &SealedPage)> {
        self.pages.iter().map(|(slice, page)| (*slice, page))
    }

    /// Removes a page that was deleted.
    pub(super) fn remove(&mut self, slice: u64) {
        self.pages.remove(&slice);
    }

    /// Removes all pages.
    pub(super) fn clear(&mut self) {
        self.pages.clear();
    }

    /// Returns the number of pages.
    pub(super) fn len(&self) -> usize {
        self.pages.len()
    }

    /// Returns the number of keys.
    pub(super) fn keys(&self) -> usize {
        self.pages.values().map(|page| page.keys.len()).sum()
    }
}
