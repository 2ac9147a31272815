//! The index of the cache store, which holds prompt parts outside the engines.
//!
//! The store has a limited number of event listeners, so only some nodes subscribe to its events.
//! They report recently stored parts to the other nodes in their digests. Digests don't report
//! removals, so parts learned from them expire.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Scope;
use crate::recent::Recent;
use redwingrill_routing::CacheChange;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;

/// How long a part that only a digest reported is assumed to be stored.
const REPORTED_PART_MS: u64 = 20_000;

/// How long digests contain a part: long enough to reach every node once in a large fleet.
const REPORT_MS: u64 = 1_500;

/// The maximum number of parts in one digest.
const REPORT_LIMIT: usize = 128;

/// How long a report of a subscribed node is valid.
const PEER_REPORT_AGE_LIMIT_MS: u64 = 3_000;

/// The number of parts above which expired ones are removed.
const PARTS_LIMIT: usize = 65_536;

/// A hash of a part and its scope.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct PartTag(u64);

impl PartTag {
    /// Returns the tag of a part.
    pub fn new(scope: &str, part: PartId) -> Self {
        Self(xxh3_64_with_seed(scope.as_bytes(), part.0))
    }
}

/// The part of a subscribed node's digest that describes the cache store.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CacheStoreDigest {
    /// Changes when the store restarts empty.
    pub epoch: u64,
    /// Recently stored parts, with their tokens.
    pub parts: Vec<(PartTag, u32)>,
}

#[derive(Clone, Copy, Debug)]
struct StoredPart {
    tokens: u32,
    until_ms: u64,
}

/// The parts in the cache store that this node knows.
#[derive(Clone, Debug, Default)]
pub struct CacheStoreIndex {
    parts: HashMap<PartTag, StoredPart>,
    // The store's epoch, if this node is subscribed to its events.
    subscribed_epoch: Option<u64>,
    // The epoch in the last report of another node, and the time of the report.
    peer_report: Option<(u64, u64)>,
    recently_stored: Recent<(PartTag, u32), REPORT_MS>,
}

impl CacheStoreIndex {
    /// Records that this node is subscribed to the store, whose content is not yet known.
    pub fn subscribe(&mut self, epoch: u64) {
        self.clear();
        self.subscribed_epoch = Some(epoch);
    }

    /// Records that this node is not subscribed to the store.
    pub fn unsubscribe(&mut self) {
        if self.subscribed_epoch.take().is_some() {
            self.clear();
        }
    }

    /// Clears the index, for example when the store is replaced.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Applies events of the store.
    pub fn apply_changes(&mut self, changes: Vec<CacheChange>, now_ms: u64) {
        for change in changes {
            let tag = PartTag::new(&change.scope, change.part);
            if change.tokens == 0 {
                self.parts.remove(&tag);
                continue;
            }
            self.parts.insert(tag, StoredPart { tokens: change.tokens, until_ms: u64::MAX });
            self.recently_stored.push((tag, change.tokens), now_ms);
        }
    }

    /// Returns the report for other nodes; `None` if this node is not subscribed to the store.
    pub fn digest(&self, now_ms: u64) -> Option<CacheStoreDigest> {
        let epoch = self.subscribed_epoch?;
        let parts = self.recently_stored.iter(now_ms).rev().take(REPORT_LIMIT).copied().collect();
        Some(CacheStoreDigest { epoch, parts })
    }

    /// Merges the report of a subscribed node.
    pub fn merge_peer_digest(&mut self, digest: CacheStoreDigest, now_ms: u64) {
        if self.subscribed_epoch.is_some() {
            return;
        }
        if self.peer_report.is_some_and(|(epoch, _)| epoch != digest.epoch) {
            self.parts.clear();
        }
        self.peer_report = Some((digest.epoch, now_ms));
        if self.parts.len() > PARTS_LIMIT {
            self.parts.retain(|_, part| part.until_ms > now_ms);
        }
        let until_ms = now_ms + REPORTED_PART_MS;
        for (tag, tokens) in digest.parts {
            self.parts.insert(tag, StoredPart { tokens, until_ms });
        }
    }

    /// Returns whether the store is known to be available.
    pub fn is_available(&self, now_ms: u64) -> bool {
        let has_peer_report = self
            .peer_report
            .is_some_and(|(_, at_ms)| now_ms.saturating_sub(at_ms) < PEER_REPORT_AGE_LIMIT_MS);
        self.subscribed_epoch.is_some() || has_peer_report
    }

    /// Returns how many of the leading tokens of a prompt are in the store.
    pub fn leading_tokens(&self, scope: &Scope, parts: &[PromptPart], now_ms: u64) -> u32 {
        if !self.is_available(now_ms) {
            return 0;
        }
        let mut tokens = 0;
        for part in parts {
            let stored = self.parts.get(&PartTag::new(&scope.0, part.id));
            let live = stored.filter(|stored| stored.until_ms > now_ms);
            let held = live.map_or(0, |stored| stored.tokens).min(part.tokens);
            tokens += held;
            if held < part.tokens {
                break;
            }
        }
        tokens
    }
}
