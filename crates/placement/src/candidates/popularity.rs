//! The share of a model's work under each prefix, as this node sees it.
//!
//! Callers reach nodes through a balancer, so the shares at one node are a sample of the fleet's.
//! Weights decay with time, and the table is bounded: when it is full, the coldest entries go.

use crate::blocks::BlockHash;
use crate::identity_hasher::BlockMap;

/// The time in which an observation loses half of its weight.
const HALF_LIFE_MS: f64 = 8_000.0;

/// Prefixes that are followed at once.
const MAX_PREFIXES: usize = 16_384;

/// Entries below this weight are dropped when the table is full.
const MIN_RETAINED_WEIGHT: f32 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct DecayingWeight {
    weight: f32,
    updated_ms: u64,
}

impl DecayingWeight {
    fn value_at(self, now_ms: u64) -> f32 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * (-age_ms / HALF_LIFE_MS).exp2() as f32
    }

    fn add(&mut self, weight: f32, now_ms: u64) {
        self.weight = self.value_at(now_ms) + weight;
        self.updated_ms = now_ms;
    }
}

/// Decayed work by prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    prefixes: BlockMap<DecayingWeight>,
    total: DecayingWeight,
    requests: DecayingWeight,
}

impl PrefixPopularity {
    /// Counts one request with its work, for the whole model.
    pub fn record_request(&mut self, work: f32, now_ms: u64) {
        self.total.add(work, now_ms);
        self.requests.add(1.0, now_ms);
    }

    /// Counts work under a prefix.
    pub fn record_prefix(&mut self, prefix: BlockHash, work: f32, now_ms: u64) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            self.evict_lightest(now_ms);
        }
        self.prefixes.entry(prefix).or_default().add(work, now_ms);
    }

    /// Returns the share of the model's work under a prefix, from 0 to 1.
    pub fn share(&self, prefix: BlockHash, now_ms: u64) -> f64 {
        let weight = self.prefixes.get(&prefix).map_or(0.0, |entry| entry.value_at(now_ms));
        let total = self.total.value_at(now_ms);
        if total <= 0.0 { 0.0 } else { f64::from(weight / total).min(1.0) }
    }

    /// Returns whether a prefix was seen and has not gone cold.
    pub fn is_tracked(&self, prefix: BlockHash) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Returns the number of prefixes followed.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is followed.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    fn evict_lightest(&mut self, now_ms: u64) {
        let mean = self.total.value_at(now_ms) / self.requests.value_at(now_ms).max(1.0);
        let mut threshold = MIN_RETAINED_WEIGHT * mean;
        // Dropping a quarter at least keeps the sweeps rare.
        while self.prefixes.len() > MAX_PREFIXES / 4 * 3 {
            self.prefixes.retain(|_, entry| entry.value_at(now_ms) > threshold);
            threshold = threshold.mul_add(2.0, f32::MIN_POSITIVE);
        }
    }
}
