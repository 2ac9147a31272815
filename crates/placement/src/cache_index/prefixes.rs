//! A bounded table of cached prefixes and their engines.

use crate::blocks::BlockHash;
use crate::fleet::Incarnation;
use crate::identity_hasher::BlockMap;
use redwingrill_entity::UpstreamId;

/// The maximum number of prefixes.
const MAX_PREFIXES: usize = 16_384;

/// The maximum number of engines of a prefix.
const MAX_LOCATIONS: usize = 8;

/// An engine that probably has a prefix cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheLocation {
    upstream: UpstreamId,
    incarnation: Incarnation,
    recorded_ms: u64,
    expires_ms: u64,
}

impl CacheLocation {
    /// Returns the age of the entry in milliseconds, if it belongs to this incarnation of this
    /// engine and has not expired.
    pub(crate) fn age_ms(
        &self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<u64> {
        let matches = self.upstream == upstream && self.incarnation == incarnation;
        let is_valid = matches && now_ms < self.expires_ms;
        is_valid.then(|| now_ms.saturating_sub(self.recorded_ms))
    }
}

/// The engines that have each prefix cached.
#[derive(Clone, Debug, Default)]
pub struct CachedPrefixes {
    locations: BlockMap<Vec<CacheLocation>>,
}

impl CachedPrefixes {
    /// Records that an engine has cached a prefix.
    pub fn insert(
        &mut self,
        prefix: BlockHash,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now_ms: u64,
        time_to_live_ms: u64,
    ) {
        if self.locations.len() >= MAX_PREFIXES && !self.locations.contains_key(&prefix) {
            self.evict_expiring(now_ms);
        }
        let expires_ms = now_ms + time_to_live_ms;
        let location = CacheLocation { upstream, incarnation, recorded_ms: now_ms, expires_ms };
        let locations = self.locations.entry(prefix).or_default();
        if let Some(old) = locations.iter_mut().find(|old| old.upstream == upstream) {
            *old = location;
            return;
        }
        if locations.len() == MAX_LOCATIONS {
            let oldest = (0..MAX_LOCATIONS).min_by_key(|&index| locations[index].expires_ms);
            locations.swap_remove(oldest.expect("the list is full"));
        }
        locations.push(location);
    }

    /// Records that an engine evicted a prefix.
    pub fn remove(&mut self, prefix: BlockHash, upstream: UpstreamId) {
        if let Some(locations) = self.locations.get_mut(&prefix) {
            locations.retain(|location| location.upstream != upstream);
        }
    }

    /// Returns the recorded engines of a prefix. Entries may have expired.
    pub(crate) fn locations(&self, prefix: BlockHash) -> &[CacheLocation] {
        self.locations.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether there is no prefix.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Checks the invariants and returns the first violation as an error.
    pub fn verify(&self) -> Result<(), String> {
        if self.locations.len() > MAX_PREFIXES {
            return Err(format!("{} prefixes exceed the maximum", self.locations.len()));
        }
        for (prefix, locations) in &self.locations {
            let mut upstreams: Vec<_> =
                locations.iter().map(|location| location.upstream).collect();
            upstreams.sort_unstable();
            upstreams.dedup();
            if upstreams.len() != locations.len() || locations.len() > MAX_LOCATIONS {
                return Err(format!("the engines of {prefix} are duplicated or too many"));
            }
        }
        Ok(())
    }

    /// Evicts expired entries, and then those that expire soonest until enough space is free.
    fn evict_expiring(&mut self, now_ms: u64) {
        let mut cutoff_ms = now_ms;
        while self.locations.len() > MAX_PREFIXES / 4 * 3 {
            self.locations.retain(|_, locations| {
                locations.retain(|location| location.expires_ms > cutoff_ms);
                !locations.is_empty()
            });
            cutoff_ms += 1_000;
        }
    }
}
