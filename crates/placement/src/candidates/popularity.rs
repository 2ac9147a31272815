//! The share of a model's work under each prefix, as observed by this node.
//!
//! Callers reach nodes through a load balancer, so the shares at one node are a sample of those of
//! the fleet. Weights decay with time. The table is bounded: when it is full, the entries with the
//! lowest weights are evicted.

use crate::blocks::BlockHash;
use crate::identity_hasher::BlockMap;

/// The half-life of an observation.
const HALF_LIFE_MS: f64 = 8_000.0;

/// The maximum number of tracked prefixes.
const MAX_PREFIXES: usize = 16_384;

/// The minimum weight of an entry to survive eviction from a full table, relative to the mean work
/// of a request.
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

/// Recent work by prefix, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    prefixes: BlockMap<DecayingWeight>,
    total: DecayingWeight,
    requests: DecayingWeight,
}

impl PrefixPopularity {
    /// Records a request and its work for the whole model.
    pub fn record_request(&mut self, work: f32, now_ms: u64) {
        self.total.add(work, now_ms);
        self.requests.add(1.0, now_ms);
    }

    /// Records work under a prefix.
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

    /// Returns whether a prefix was recorded and has not been evicted.
    pub fn is_tracked(&self, prefix: BlockHash) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    fn evict_lightest(&mut self, now_ms: u64) {
        let mean = self.total.value_at(now_ms) / self.requests.value_at(now_ms).max(1.0);
        let mut threshold = MIN_RETAINED_WEIGHT * mean;
        // Evicting at least a quarter keeps full scans rare.
        while self.prefixes.len() > MAX_PREFIXES / 4 * 3 {
            self.prefixes.retain(|_, entry| entry.value_at(now_ms) > threshold);
            threshold = threshold.mul_add(2.0, f32::MIN_POSITIVE);
        }
    }
}
