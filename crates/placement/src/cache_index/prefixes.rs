//! The bounded table of prefixes that engines hold.

use crate::blocks::BlockHash;
use crate::fleet::Incarnation;
use crate::identity_hasher::BlockMap;
use redwingrill_entity::UpstreamId;

/// Prefixes that are remembered at once.
const MAX_PREFIXES: usize = 16_384;

/// Engines that are remembered for a prefix.
const MAX_HOLDERS: usize = 8;

/// An engine that is believed to hold a prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holder {
    upstream: UpstreamId,
    incarnation: Incarnation,
    learned_ms: u64,
    expires_ms: u64,
}

impl Holder {
    /// Returns the age of the belief, if it is one about this start of this engine.
    pub(crate) fn age_ms(
        &self,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<u64> {
        let is_same = self.upstream == upstream && self.incarnation == incarnation;
        let is_valid = is_same && now_ms < self.expires_ms;
        is_valid.then(|| now_ms.saturating_sub(self.learned_ms))
    }
}

/// Which engine holds which prefix.
#[derive(Clone, Debug, Default)]
pub struct CachedPrefixes {
    holders: BlockMap<Vec<Holder>>,
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
        if self.holders.len() >= MAX_PREFIXES && !self.holders.contains_key(&prefix) {
            self.make_room(now_ms);
        }
        let expires_ms = now_ms + time_to_live_ms;
        let holder = Holder { upstream, incarnation, learned_ms: now_ms, expires_ms };
        let holders = self.holders.entry(prefix).or_default();
        if let Some(old) = holders.iter_mut().find(|old| old.upstream == upstream) {
            *old = holder;
            return;
        }
        if holders.len() == MAX_HOLDERS {
            let oldest = (0..MAX_HOLDERS).min_by_key(|&place| holders[place].expires_ms);
            holders.swap_remove(oldest.expect("the list is full"));
        }
        holders.push(holder);
    }

    /// Notes that an engine evicted a prefix.
    pub fn remove(&mut self, prefix: BlockHash, upstream: UpstreamId) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.upstream != upstream);
        }
    }

    /// Returns the engines that are believed to hold a prefix; some beliefs may have expired.
    pub(crate) fn holders(&self, prefix: BlockHash) -> &[Holder] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Checks the invariants and names the first that is broken.
    pub fn verify(&self) -> Result<(), String> {
        if self.holders.len() > MAX_PREFIXES {
            return Err(format!("{} prefixes are too many", self.holders.len()));
        }
        for (prefix, holders) in &self.holders {
            let mut upstreams: Vec<_> = holders.iter().map(|holder| holder.upstream).collect();
            upstreams.sort_unstable();
            upstreams.dedup();
            if upstreams.len() != holders.len() || holders.len() > MAX_HOLDERS {
                return Err(format!("the holders of {prefix} are wrong"));
            }
        }
        Ok(())
    }

    /// Drops what has expired, and if that is too little, what expires first.
    fn make_room(&mut self, now_ms: u64) {
        let mut horizon_ms = now_ms;
        while self.holders.len() > MAX_PREFIXES / 4 * 3 {
            self.holders.retain(|_, holders| {
                holders.retain(|holder| holder.expires_ms > horizon_ms);
                !holders.is_empty()
            });
            horizon_ms += 1_000;
        }
    }
}
