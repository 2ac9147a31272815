//! Which caches hold which shared prefixes, as this node has seen.

use std::collections::HashMap;

use super::AffinityKey;
use super::Scope;
use crate::fleet::UpstreamIndex;

/// How long a prefix is taken to stay in an engine after its last use there.
const HELD_MS: u64 = 8_000;

/// How long a prefix is taken to stay in the cache store after it was sent there.
const SAVED_MS: u64 = 60_000;

/// The most entries; the oldest go first.
const ENTRIES_LIMIT: usize = 8_192;

type Held = (AffinityKey, Scope);

/// What this node knows of cached prefixes.
#[derive(Clone, Debug, Default)]
pub struct PartKnowledge {
    engines: HashMap<Held, Vec<(UpstreamIndex, u64)>>,
    saved_ms: HashMap<Held, u64>,
    uses: HashMap<AffinityKey, (u32, u64)>,
}

impl PartKnowledge {
    /// Notes that an engine has read a prefix.
    pub fn read(&mut self, key: AffinityKey, scope: Scope, engine: UpstreamIndex, now_ms: u64) {
        if self.engines.len() >= ENTRIES_LIMIT {
            self.engines.retain(|_, holders| {
                holders.iter().any(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < HELD_MS)
            });
        }
        let holders = self.engines.entry((key, scope)).or_default();
        holders
            .retain(|(holder, at_ms)| *holder != engine && now_ms.saturating_sub(*at_ms) < HELD_MS);
        holders.push((engine, now_ms));
    }

    /// Returns the engines that hold a prefix, the latest use last.
    pub fn holders(
        &self,
        key: AffinityKey,
        scope: &Scope,
        now_ms: u64,
    ) -> impl Iterator<Item = UpstreamIndex> {
        let holders = self.engines.get(&(key, scope.clone())).map_or(&[][..], Vec::as_slice);
        let live = holders.iter().filter(move |(_, at_ms)| now_ms.saturating_sub(*at_ms) < HELD_MS);
        live.map(|(engine, _)| *engine)
    }

    /// Forgets what an engine held.
    pub fn forget(&mut self, engine: UpstreamIndex) {
        for holders in self.engines.values_mut() {
            holders.retain(|(holder, _)| *holder != engine);
        }
        self.engines.retain(|_, holders| !holders.is_empty());
    }

    /// Counts a use of a prefix; returns how often it was used of late.
    pub fn used(&mut self, key: AffinityKey, now_ms: u64) -> u32 {
        if self.uses.len() >= ENTRIES_LIMIT {
            self.uses.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < SAVED_MS);
        }
        let (count, at_ms) = self.uses.entry(key).or_insert((0, now_ms));
        if now_ms.saturating_sub(*at_ms) >= SAVED_MS {
            *count = 0;
        }
        *at_ms = now_ms;
        *count += 1;
        *count
    }

    /// Notes that a prefix was sent to the cache store.
    pub fn saved(&mut self, key: AffinityKey, scope: Scope, now_ms: u64) {
        if self.saved_ms.len() >= ENTRIES_LIMIT {
            self.saved_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < SAVED_MS);
        }
        self.saved_ms.insert((key, scope), now_ms);
    }

    /// Returns whether the cache store holds a prefix, as far as this node knows.
    pub fn is_saved(&self, key: AffinityKey, scope: &Scope, now_ms: u64) -> bool {
        let saved = self.saved_ms.get(&(key, scope.clone()));
        saved.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < SAVED_MS)
    }

    /// Forgets what the cache store held.
    pub fn store_emptied(&mut self) {
        self.saved_ms.clear();
    }
}
