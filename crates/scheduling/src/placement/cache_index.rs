//! The cache index: which engines hold which shared prefixes, as known to this node.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AffinityKey;
use super::CacheStoreIndex;
use super::Scope;
use crate::fleet::UpstreamIndex;
use crate::recent::Recent;

/// How long a prefix is assumed to stay cached in an engine after its last use there.
const CACHED_MS: u64 = 8_000;

/// How long a save to the cache store is assumed to be in progress.
const SAVING_MS: u64 = 2_500;

/// The maximum number of entries; expired ones are removed when it is reached.
const ENTRIES_LIMIT: usize = 8_192;

/// The time after which the prefill of a sent prefix is assumed to be complete.
const PREFILL_MS: u64 = 700;

/// How long the digests contain a prefix that was sent to an engine: until the cache store's event
/// reaches the other nodes.
const REPORT_MS: u64 = 1_500;

/// A shared prefix within its scope.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct PrefixTag(u64);

impl PrefixTag {
    /// Returns the tag of a prefix.
    pub fn new(key: AffinityKey, scope: &Scope) -> Self {
        Self(xxh3_64_with_seed(scope.0.as_bytes(), key.0))
    }
}

/// The known location of a prefix.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheLocation {
    /// No engine is known to hold it.
    Unknown,
    /// An engine is prefilling it; a fetch now would find nothing.
    Prefilling,
    /// An engine has it cached.
    Cached,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: UpstreamIndex,
    sent_ms: u64,
    used_ms: u64,
}

/// The cached prefixes that this node knows.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    engines: HashMap<PrefixTag, Vec<Holder>>,
    // Prefixes that this node sent recently.
    sent: Recent<(PrefixTag, UpstreamIndex), REPORT_MS>,
    stored: CacheStoreIndex,
    saving_ms: HashMap<PrefixTag, u64>,
}

impl CacheIndex {
    /// Returns an index for the scheduler of a group of engines. The engines have other indexes
    /// there, so only the index of the cache store is taken over.
    pub(crate) fn for_group(&self) -> Self {
        Self { stored: self.stored.clone(), ..Self::default() }
    }

    /// Records that this node sent a prefix to an engine.
    pub fn record_sent(&mut self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) {
        self.sent.push((tag, engine), now_ms);
        self.record_use(tag, engine, now_ms);
    }

    /// Returns the prefixes that this node sent recently.
    pub fn recently_sent(&self, now_ms: u64) -> impl Iterator<Item = (PrefixTag, UpstreamIndex)> {
        self.sent.iter(now_ms).copied()
    }

    /// Records the use of a prefix at an engine.
    pub fn record_use(&mut self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) {
        if self.engines.len() >= ENTRIES_LIMIT {
            self.engines.retain(|_, holders| holders.iter().any(|holder| holder.is_live(now_ms)));
        }
        let holders = self.engines.entry(tag).or_default();
        holders.retain(|holder| holder.is_live(now_ms));
        match holders.iter_mut().find(|holder| holder.engine == engine) {
            Some(holder) => holder.used_ms = now_ms,
            None => holders.push(Holder { engine, sent_ms: now_ms, used_ms: now_ms }),
        }
    }

    /// Records that an engine has prefilled a prefix.
    pub fn record_prefill(&mut self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) {
        self.record_use(tag, engine, now_ms);
        let holders = self.engines.entry(tag).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.engine == engine) {
            holder.sent_ms = holder.sent_ms.min(now_ms.saturating_sub(PREFILL_MS));
        }
    }

    /// Returns whether an engine holds a prefix or is prefilling it.
    pub fn has(&self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) -> bool {
        self.live(tag, now_ms).any(|holder| holder.engine == engine)
    }

    /// Returns the engines that have prefilled a prefix and still hold it.
    pub fn holders(&self, tag: PrefixTag, now_ms: u64) -> impl Iterator<Item = UpstreamIndex> {
        let prefilled = self.live(tag, now_ms).filter(move |holder| holder.is_prefilled(now_ms));
        prefilled.map(|holder| holder.engine)
    }

    /// Returns the number of prefixes that an engine is known to hold.
    pub fn live_prefixes(&self, now_ms: u64) -> usize {
        let live = self.engines.values();
        live.filter(|holders| holders.iter().any(|holder| holder.is_live(now_ms))).count()
    }

    /// Returns the location of a prefix.
    pub fn location(&self, tag: PrefixTag, now_ms: u64) -> CacheLocation {
        if self.holders(tag, now_ms).next().is_some() {
            return CacheLocation::Cached;
        }
        match self.live(tag, now_ms).next() {
            Some(_) => CacheLocation::Prefilling,
            None => CacheLocation::Unknown,
        }
    }

    fn live(&self, tag: PrefixTag, now_ms: u64) -> impl Iterator<Item = &Holder> {
        let holders = self.engines.get(&tag).map_or(&[][..], Vec::as_slice);
        holders.iter().filter(move |holder| holder.is_live(now_ms))
    }

    /// Removes all entries of an engine.
    pub fn remove_engine(&mut self, engine: UpstreamIndex) {
        for holders in self.engines.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
        self.engines.retain(|_, holders| !holders.is_empty());
    }

    /// Records that a save of a prefix to the cache store has started.
    pub fn record_save(&mut self, tag: PrefixTag, now_ms: u64) {
        if self.saving_ms.len() >= ENTRIES_LIMIT {
            self.saving_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < SAVING_MS);
        }
        self.saving_ms.insert(tag, now_ms);
    }

    /// Returns whether a save of a prefix to the cache store is in progress.
    pub fn is_saving(&self, tag: PrefixTag, now_ms: u64) -> bool {
        let started = self.saving_ms.get(&tag);
        started.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < SAVING_MS)
    }

    /// Returns the index of the cache store.
    pub fn cache_store(&self) -> &CacheStoreIndex {
        &self.stored
    }

    /// Returns the index of the cache store for modification.
    pub fn cache_store_mut(&mut self) -> &mut CacheStoreIndex {
        &mut self.stored
    }
}

impl Holder {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.used_ms) < CACHED_MS
    }

    fn is_prefilled(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.sent_ms) >= PREFILL_MS
    }
}
