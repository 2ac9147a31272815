//! Which caches hold which shared prefixes, as this node has seen.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AffinityKey;
use super::CacheStoreIndex;
use super::Scope;
use crate::fleet::UpstreamIndex;
use crate::recent::Recent;

/// How long a prefix is taken to stay in an engine after its last use there.
const CACHED_MS: u64 = 8_000;

/// How long a prefix that was sent to the cache store is taken to be on its way there.
const SAVING_MS: u64 = 2_500;

/// The most entries; the oldest go first.
const ENTRIES_LIMIT: usize = 8_192;

/// How long after its sending to an engine a prefix is taken to be read there.
const PREFILL_MS: u64 = 700;

/// How long other nodes are told of a prefix that was sent to an engine: until the event of the
/// cache store reaches them.
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

/// Where a prefix is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheLocation {
    /// No engine is known to hold it.
    Unknown,
    /// It is being read; whoever fetches it now finds nothing.
    Prefilling,
    /// An engine holds it.
    Cached,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: UpstreamIndex,
    sent_ms: u64,
    used_ms: u64,
}

/// What this node knows of cached prefixes.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    engines: HashMap<PrefixTag, Vec<Holder>>,
    // What this node sent of late.
    sent: Recent<(PrefixTag, UpstreamIndex), REPORT_MS>,
    stored: CacheStoreIndex,
    saving_ms: HashMap<PrefixTag, u64>,
}

impl CacheIndex {
    /// Notes that this node sent a prefix to an engine.
    pub fn record_sent(&mut self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) {
        self.sent.push((tag, engine), now_ms);
        self.record_use(tag, engine, now_ms);
    }

    /// Returns what this node sent of late.
    pub fn recently_sent(&self, now_ms: u64) -> impl Iterator<Item = (PrefixTag, UpstreamIndex)> {
        self.sent.iter(now_ms).copied()
    }

    /// Notes that a prefix is used at an engine.
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

    /// Notes that an engine has read a prefix.
    pub fn record_prefill(&mut self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) {
        self.record_use(tag, engine, now_ms);
        let holders = self.engines.entry(tag).or_default();
        if let Some(holder) = holders.iter_mut().find(|holder| holder.engine == engine) {
            holder.sent_ms = holder.sent_ms.min(now_ms.saturating_sub(PREFILL_MS));
        }
    }

    /// Returns whether an engine holds a prefix or reads it.
    pub fn has(&self, tag: PrefixTag, engine: UpstreamIndex, now_ms: u64) -> bool {
        self.live(tag, now_ms).any(|holder| holder.engine == engine)
    }

    /// Returns the engines that hold a prefix and have read it.
    pub fn holders(&self, tag: PrefixTag, now_ms: u64) -> impl Iterator<Item = UpstreamIndex> {
        let prefilled = self.live(tag, now_ms).filter(move |holder| holder.is_prefilled(now_ms));
        prefilled.map(|holder| holder.engine)
    }

    /// Returns where a prefix is.
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

    /// Forgets what an engine held.
    pub fn remove_engine(&mut self, engine: UpstreamIndex) {
        for holders in self.engines.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
        self.engines.retain(|_, holders| !holders.is_empty());
    }

    /// Notes that a prefix is sent to the cache store.
    pub fn record_save(&mut self, tag: PrefixTag, now_ms: u64) {
        if self.saving_ms.len() >= ENTRIES_LIMIT {
            self.saving_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < SAVING_MS);
        }
        self.saving_ms.insert(tag, now_ms);
    }

    /// Returns whether a prefix is on its way to the cache store.
    pub fn is_saving(&self, tag: PrefixTag, now_ms: u64) -> bool {
        let started = self.saving_ms.get(&tag);
        started.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < SAVING_MS)
    }

    /// Returns what is known of the cache store.
    pub fn cache_store(&self) -> &CacheStoreIndex {
        &self.stored
    }

    /// Returns what is known of the cache store, for changes.
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
