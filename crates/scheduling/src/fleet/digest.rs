//! Load digests that nodes exchange.
//!
//! Without them, a burst that arrives at all nodes at once goes to the engines that look idle to
//! each node alone. With the pending prefill tokens and requests of the other nodes, about 100 ms
//! old, all nodes see the same queues.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndStatement;
use crate::engine_model::ModelDigest;
use crate::engine_model::StepStatistics;
use crate::placement::CacheStoreDigest;
use crate::placement::PrefixTag;
use crate::quarantine::QuarantineDigest;
use crate::signals::LimitStatement;
use redwingrill_routing::Upstream;

/// The period between digests to one node in a small fleet.
pub const DIGEST_PERIOD_MS: u64 = 100;

/// The number of nodes that get a digest per period; in a larger fleet each gets one less often.
pub const NODES_PER_DIGEST_PERIOD: usize = 12;

/// Returns the time in which a digest reaches each of the other nodes.
pub fn digest_round_ms(members: usize) -> u64 {
    let periods = members.saturating_sub(1).div_ceil(NODES_PER_DIGEST_PERIOD).max(1);
    DIGEST_PERIOD_MS * periods as u64
}

/// How long a node's digest is valid.
const DIGEST_AGE_LIMIT_MS: u64 = 1_000;

/// A hash that identifies an upstream in digests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct UpstreamTag(pub u32);

impl UpstreamTag {
    /// Returns the tag of an upstream identity.
    pub fn of(upstream_id: &str) -> Self {
        Self(xxh3_64(upstream_id.as_bytes()) as u32)
    }

    /// Returns the tag of one start of an upstream, which may start again under its identity.
    pub fn of_start(upstream: &Upstream) -> Self {
        let started_unix_ms = upstream.started_unix_ms.unwrap_or_default();
        Self(xxh3_64_with_seed(upstream.id.as_bytes(), started_unix_ms) as u32)
    }
}

/// The load of one node's requests at one upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct NodeLoad {
    /// Prompt tokens whose prefill is not complete.
    pub pending_prefill_tokens: u32,
    /// Requests that have not ended.
    pub in_flight: u32,
    /// Tokens that these requests reserve in the upstream's memory.
    pub reserved_tokens: u32,
}

/// The load of one node's requests.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The identifier of the node.
    pub node: u64,
    /// Increases with each digest; restarts when the node restarts.
    pub sequence: u64,
    /// Short prompts that arrived at the node in the last second.
    pub short_per_s: u32,
    /// Long prompts that arrived at the node in the last second.
    pub long_per_s: u32,
    /// The load at each upstream where the node has requests in flight.
    pub upstreams: Vec<(UpstreamTag, NodeLoad)>,
    /// The long prefixes that the node sent recently, with their engines.
    pub prefixes: Vec<(PrefixTag, UpstreamTag)>,
    /// Recently stored parts, if the node is subscribed to the cache store.
    pub cache_store: Option<CacheStoreDigest>,
    /// What the node learned about the upstreams.
    pub model: ModelDigest,
    /// Suspect and quarantined parts of prompts.
    pub quarantine: QuarantineDigest,
    /// What upstreams stated to the node recently about their rate limits.
    pub limits: Vec<LimitStatement>,
    /// Starts that the node found to have ended.
    pub ended: Vec<EndStatement>,
}

/// The latest digests of the other nodes.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    by_node: HashMap<u64, (LoadDigest, u64)>,
    by_upstream: HashMap<UpstreamTag, NodeLoad>,
    steps_by_start: HashMap<UpstreamTag, StepStatistics>,
}

impl PeerLoads {
    /// Adds a digest; ignores one that is not newer than the last digest of its node.
    pub fn observe(&mut self, digest: LoadDigest, now_ms: u64) {
        let known = self.by_node.get(&digest.node);
        // A restarted node counts from the beginning, so an expired digest does not block it.
        let is_older = known.is_some_and(|(known, at_ms)| {
            digest.sequence <= known.sequence && now_ms.saturating_sub(*at_ms) < DIGEST_AGE_LIMIT_MS
        });
        if is_older {
            return;
        }
        self.by_node.insert(digest.node, (digest, now_ms));
        self.recompute_totals(now_ms);
    }

    /// Returns the loads without what else the digests contain.
    pub(crate) fn loads_only(&self) -> Self {
        let by_node = self.by_node.iter().map(|(node, (digest, at_ms))| {
            let LoadDigest { node: id, sequence, ref upstreams, .. } = *digest;
            let loads = LoadDigest {
                node: id,
                sequence,
                upstreams: upstreams.clone(),
                ..Default::default()
            };
            (*node, (loads, *at_ms))
        });
        let by_upstream = self.by_upstream.clone();
        Self { by_node: by_node.collect(), by_upstream, steps_by_start: HashMap::new() }
    }

    /// Removes expired digests. Returns whether any was removed.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.by_node.len();
        self.by_node.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < DIGEST_AGE_LIMIT_MS);
        let is_changed = self.by_node.len() != before;
        if is_changed {
            self.recompute_totals(now_ms);
        }
        is_changed
    }

    fn recompute_totals(&mut self, now_ms: u64) {
        self.by_upstream.clear();
        self.steps_by_start.clear();
        for (digest, at_ms) in self.by_node.values() {
            if now_ms.saturating_sub(*at_ms) >= DIGEST_AGE_LIMIT_MS {
                continue;
            }
            for (tag, load) in &digest.upstreams {
                let total = self.by_upstream.entry(*tag).or_default();
                total.pending_prefill_tokens =
                    total.pending_prefill_tokens.saturating_add(load.pending_prefill_tokens);
                total.in_flight = total.in_flight.saturating_add(load.in_flight);
                total.reserved_tokens = total.reserved_tokens.saturating_add(load.reserved_tokens);
            }
            for (start, sums) in &digest.model.steps {
                let total = self.steps_by_start.entry(*start).or_default();
                *total = total.plus(&(*sums).into());
            }
        }
    }

    /// Returns the load of the other nodes' requests at an upstream.
    pub fn load_at(&self, tag: UpstreamTag) -> NodeLoad {
        self.by_upstream.get(&tag).copied().unwrap_or_default()
    }

    /// Returns the times of the other nodes' work at one start of an upstream.
    pub fn steps_at(&self, start: UpstreamTag) -> StepStatistics {
        self.steps_by_start.get(&start).copied().unwrap_or_default()
    }

    /// Returns the number of nodes with a digest.
    pub fn node_count(&self) -> usize {
        self.by_node.len()
    }

    /// Returns the median age of the other nodes' digests in milliseconds. The median ignores the
    /// age of a few disconnected nodes.
    pub fn median_age_ms(&self, now_ms: u64) -> u64 {
        let ages_ms = self.by_node.values().map(|(_, at_ms)| now_ms.saturating_sub(*at_ms));
        let mut ages_ms: Vec<u64> = ages_ms.collect();
        let middle = ages_ms.len() / 2;
        match ages_ms.is_empty() {
            true => 0,
            false => *ages_ms.select_nth_unstable(middle).1,
        }
    }

    /// Returns the arrivals of short and long prompts per second at the other nodes.
    pub fn arrivals_per_s(&self) -> (u32, u32) {
        self.by_node.values().fold((0, 0), |(short, long), (digest, _)| {
            (short + digest.short_per_s, long + digest.long_per_s)
        })
    }
}
