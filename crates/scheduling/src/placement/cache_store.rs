//! What the store of cached prompt parts holds.
//!
//! Some nodes hear the store's own events, as far as it has listeners; they tell the others what
//! was stored of late. What is only told is forgotten after a while, since removals are not told.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Scope;
use crate::recent::Recent;
use redwingrill_routing::CacheChange;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;

/// How long a part that was only told is taken to be stored.
const REPORTED_PART_MS: u64 = 20_000;

/// How long other nodes are told of a part: until each has heard it once in a large fleet.
const REPORT_MS: u64 = 1_500;

/// The most parts in one digest.
const REPORT_LIMIT: usize = 128;

/// How long the word of a node that hears the store counts.
const PEER_REPORT_AGE_LIMIT_MS: u64 = 3_000;

/// The most parts that are remembered.
const PARTS_LIMIT: usize = 65_536;

/// A part within its scope.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct PartTag(u64);

impl PartTag {
    /// Returns the tag of a part.
    pub fn new(scope: &str, part: PartId) -> Self {
        Self(xxh3_64_with_seed(scope.as_bytes(), part.0))
    }
}

/// What a node that hears the store tells of it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CacheStoreDigest {
    /// Changes when the store starts anew, empty.
    pub epoch: u64,
    /// Parts that were stored of late, with their tokens.
    pub parts: Vec<(PartTag, u32)>,
}

#[derive(Clone, Copy, Debug)]
struct StoredPart {
    tokens: u32,
    until_ms: u64,
}

/// What the store of cached prompt parts holds.
#[derive(Clone, Debug, Default)]
pub struct CacheStoreIndex {
    parts: HashMap<PartTag, StoredPart>,
    // The epoch, if this node hears the store itself.
    subscribed_epoch: Option<u64>,
    // The epoch that others told, and when.
    peer_report: Option<(u64, u64)>,
    recently_stored: Recent<(PartTag, u32), REPORT_MS>,
}

impl CacheStoreIndex {
    /// Notes that this node hears the store, which is empty as far as known.
    pub fn subscribe(&mut self, epoch: u64) {
        self.clear();
        self.subscribed_epoch = Some(epoch);
    }

    /// Notes that this node does not hear the store, or no longer.
    pub fn unsubscribe(&mut self) {
        if self.subscribed_epoch.take().is_some() {
            self.clear();
        }
    }

    /// Forgets everything, as when the store is another.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes in what the store's own events say.
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

    /// Returns what other nodes are told; `None` if this node does not hear the store.
    pub fn digest(&self, now_ms: u64) -> Option<CacheStoreDigest> {
        let epoch = self.subscribed_epoch?;
        let parts = self.recently_stored.iter(now_ms).rev().take(REPORT_LIMIT).copied().collect();
        Some(CacheStoreDigest { epoch, parts })
    }

    /// Takes in what a node that hears the store told.
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

    /// Returns whether the store answers, as far as known.
    pub fn is_available(&self, now_ms: u64) -> bool {
        let has_peer_report = self
            .peer_report
            .is_some_and(|(_, at_ms)| now_ms.saturating_sub(at_ms) < PEER_REPORT_AGE_LIMIT_MS);
        self.subscribed_epoch.is_some() || has_peer_report
    }

    /// Returns how many of the leading tokens of a prompt the store holds.
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
