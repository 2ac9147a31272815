//! The affinity key, from which all nodes derive the same preferred engine for a prompt without
//! exchanging messages.
//!
//! The expected load has about a hundred long parts, each shared by many requests that arrive at
//! all nodes. Every node ranks the engines by rendezvous hashing of the shared parts, so one engine
//! prefills a part and the requests of the other nodes find it there. The loss of an engine moves
//! only its own parts. Faster engines have higher weights and hold more prefixes.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rendezvous;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::WeightsVersion;

/// A shared prefix shorter than this is cheaper to prefill again than to look up.
const SHARED_TOKENS_FLOOR: u32 = 1_024;

/// A hash of the shared prefix of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct AffinityKey(pub u64);

impl AffinityKey {
    /// Returns the key of a prompt; `None` if its shared prefix is too short to look up.
    pub fn of(prompt: &DeclaredPrompt) -> Option<Self> {
        if prompt.shared_tokens() < SHARED_TOKENS_FLOOR {
            return None;
        }
        let model = xxh3_64_with_seed(prompt.model.as_bytes(), 0);
        let parts = prompt.shared_parts().iter();
        Some(Self(parts.fold(model, |key, part| xxh3_64_with_seed(&part.id.0.to_le_bytes(), key))))
    }
}

/// Returns the rendezvous score of an engine for a prefix; the highest score wins.
pub fn rendezvous_score(key: AffinityKey, upstream_id: &str) -> u64 {
    rendezvous::score(key.0, upstream_id)
}

/// The rendezvous score of an engine that holds prefixes in proportion to a weight. Scores of equal
/// weights have the order of the unweighted scores.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct WeightedScore {
    weighted: f64,
    score: u64,
}

impl WeightedScore {
    /// Returns the score of an engine for a prefix; the highest score wins.
    pub fn new(key: AffinityKey, upstream_id: &str, weight: f64) -> Self {
        let score = rendezvous_score(key, upstream_id);
        // A number between zero and one, exclusively.
        let uniform = ((score >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        Self { weighted: weight / -uniform.ln(), score }
    }
}

impl Eq for WeightedScore {}

impl PartialOrd for WeightedScore {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WeightedScore {
    fn cmp(&self, other: &Self) -> Ordering {
        self.weighted.total_cmp(&other.weighted).then(self.score.cmp(&other.score))
    }
}

/// The scope within which cached parts match: the version of the weights, and the client accounts
/// that share them.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Scope(pub String);

impl Scope {
    /// Returns the scope of a request.
    pub fn new(version: WeightsVersion, audience: &CacheAudience) -> Self {
        Self(format!("w{}{}", version.0, audience.as_str()))
    }
}
