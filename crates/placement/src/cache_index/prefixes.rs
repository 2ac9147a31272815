//! The bounded table of prefixes that engines hold.

use crate::blocks::BlockHash;
use crate::fleet::Incarnation;
use crate::identity_hasher::BlockMap;
use redwingrill_entity::UpstreamId;

/// Prefixes that are remembered at once.
const MAX_PREFIXES: usize = 16_384;

/// Engines that are remembered for a prefix.
const MAX_LOCATIONS: usize = 8;

/// An engine that is believed to hold a prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheLocation {
    upstream: UpstreamId,
    incarnation: Incarnation,
    recorded_ms: u64,
    expires_ms: u64,
}

impl CacheLocation {
    /// Returns the age of the belief, if it is one about this start of this engine.
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

/// Which engine holds which prefix.
#[derive(Clone, Debug, Default)]
pub struct CachedPrefixes {
    locations: BlockMap<Vec<CacheLocation>>,
}

impl CachedPrefixes {
    /// Notes that an engine holds a prefix.
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

    /// Notes that an engine evicted a prefix.
    pub fn remove(&mut self, prefix: BlockHash, upstream: UpstreamId) {
        if let Some(locations) = self.locations.get_mut(&prefix) {
            locations.retain(|location| location.upstream != upstream);
        }
    }

    /// Returns the engines that are believed to hold a prefix; some beliefs may have expired.
    pub(crate) fn locations(&self, prefix: BlockHash) -> &[CacheLocation] {
        self.locations.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Checks the invariants and names the first that is broken.
    pub fn verify(&self) -> Result<(), String> {
        if self.locations.len() > MAX_PREFIXES {
            return Err(format!("{} prefixes are too many", self.locations.len()));
        }
        for (prefix, locations) in &self.locations {
            let mut upstreams: Vec<_> =
                locations.iter().map(|location| location.upstream).collect();
            upstreams.sort_unstable();
            upstreams.dedup();
            if upstreams.len() != locations.len() || locations.len() > MAX_LOCATIONS {
                return Err(format!("the holders of {prefix} are wrong"));
            }
        }
        Ok(())
    }

    /// Drops what has expired, and if that is too little, what expires first.
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
