//! A page: the records of one time slice of one shard.

use std::collections::BTreeMap;

use crate::KeyHash;
use crate::record::Record;

/// The records of one time slice of one shard.
///
/// Invariants, checked by [`Page::verify`]: only a sealed page has retired keys; a page has records
/// or retired keys, never both; retired keys are sorted.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Page {
    /// Whether the set of keys is final.
    pub sealed: bool,
    /// When the page was created, by the wall clock of the node that created it, in milliseconds.
    pub opened_at_ms: u64,
    /// When a record was last added, by the wall clock of the writing node, in milliseconds.
    pub changed_at_ms: u64,
    /// The records by the hash of their key.
    pub records: BTreeMap<KeyHash, Record>,
    /// The short hashes of the keys, once the records are past the retention window.
    pub retired: Vec<u64>,
}

impl Page {
    /// Creates an empty open page.
    pub fn open(wall_ms: u64) -> Self {
        Self { opened_at_ms: wall_ms, changed_at_ms: wall_ms, ..Self::default() }
    }

    /// Returns the page with its records replaced by the short hashes of their keys.
    pub fn retire(&self) -> Self {
        Self {
            sealed: true,
            opened_at_ms: self.opened_at_ms,
            changed_at_ms: self.changed_at_ms,
            records: BTreeMap::new(),
            retired: self.short_keys(),
        }
    }

    /// Returns the short hashes of all keys, sorted.
    pub fn short_keys(&self) -> Vec<u64> {
        if self.records.is_empty() {
            return self.retired.clone();
        }
        // The short hash is a prefix of the key hash, so both sort in the same order.
        self.records.keys().map(|key| key.short()).collect()
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns a description of the first violated invariant.
    pub fn verify(&self) -> Result<(), &'static str> {
        if !self.retired.is_empty() && !self.sealed {
            return Err("an open page has retired keys");
        }
        if !self.retired.is_empty() && !self.records.is_empty() {
            return Err("a page has both records and retired keys");
        }
        if !self.retired.is_sorted() {
            return Err("retired keys are not sorted");
        }
        Ok(())
    }
}
