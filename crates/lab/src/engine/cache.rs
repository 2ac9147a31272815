//! The prefix cache: blocks in limited memory, the least recently used evicted first.
//!
//! Invariant: each block in `stamps` has exactly its stamp in `order`, and the other way round.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::engine::BlockHash;

/// A change of the cache's contents.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheChange {
    /// A block was stored.
    Stored(BlockHash),
    /// A block was evicted.
    Removed(BlockHash),
}

/// The blocks that an engine holds.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    limit: usize,
    stamps: HashMap<BlockHash, u64>,
    order: BTreeMap<u64, BlockHash>,
    next_stamp: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Makes an empty cache of so many blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            stamps: HashMap::new(),
            order: BTreeMap::new(),
            next_stamp: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the number of blocks held.
    pub fn len(&self) -> usize {
        self.stamps.len()
    }

    /// Returns whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.stamps.is_empty()
    }

    /// Returns how many blocks at the start of a chain are held, and marks them as just used.
    pub fn lookup(&mut self, chain: &[BlockHash]) -> usize {
        let held = chain.iter().take_while(|hash| self.stamps.contains_key(hash)).count();
        self.touch(&chain[..held]);
        held
    }

    /// Stores the blocks of a chain.
    pub fn store(&mut self, chain: &[BlockHash]) {
        for hash in chain {
            if !self.stamps.contains_key(hash) {
                self.changes.push(CacheChange::Stored(*hash));
            }
        }
        self.touch(chain);
        self.evict();
    }

    /// Forgets all blocks.
    pub fn clear(&mut self) {
        let evicted = self.order.values().map(|&hash| CacheChange::Removed(hash));
        self.changes.extend(evicted);
        self.stamps.clear();
        self.order.clear();
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Checks the invariants.
    pub fn verify(&self) {
        assert_eq!(self.stamps.len(), self.order.len(), "each block has one stamp");
        assert!(self.stamps.len() <= self.limit, "the limit holds");
        for (stamp, hash) in &self.order {
            assert_eq!(self.stamps.get(hash), Some(stamp), "stamps agree");
        }
    }

    // The end of a chain gets the oldest stamp, so that chains are evicted from their ends.
    fn touch(&mut self, chain: &[BlockHash]) {
        for &hash in chain.iter().rev() {
            let stamp = self.next_stamp;
            self.next_stamp += 1;
            if let Some(old) = self.stamps.insert(hash, stamp) {
                self.order.remove(&old);
            }
            self.order.insert(stamp, hash);
        }
    }

    fn evict(&mut self) {
        while self.stamps.len() > self.limit {
            let Some((_, hash)) = self.order.pop_first() else { return };
            self.stamps.remove(&hash);
            self.changes.push(CacheChange::Removed(hash));
        }
    }
}
