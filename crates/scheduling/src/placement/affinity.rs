//! The key by which all nodes agree on an engine for a prompt, without messages.
//!
//! Answers this load: some hundred long parts, each shared by many requests that arrive at all
//! nodes. Every node orders the engines by a rendezvous score of the shared parts, so a part is
//! read by one engine and found there by the requests of the other nodes. The loss of an engine
//! moves only its own parts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::WeightsVersion;

/// A shared prefix shorter than this is cheaper to read again than to look for.
const SHARED_TOKENS_FLOOR: u32 = 1_024;

/// The shared prefix of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct AffinityKey(pub u64);

impl AffinityKey {
    /// Returns the key of a prompt; `None` if its shared prefix is not worth looking for.
    pub fn of(prompt: &DeclaredPrompt) -> Option<Self> {
        if prompt.shared_tokens() < SHARED_TOKENS_FLOOR {
            return None;
        }
        let model = xxh3_64_with_seed(prompt.model.as_bytes(), 0);
        let parts = prompt.shared_parts().iter();
        Some(Self(parts.fold(model, |key, part| xxh3_64_with_seed(&part.id.0.to_le_bytes(), key))))
    }
}

/// Returns how strongly a prefix prefers an engine; the highest score wins.
pub fn rendezvous_score(key: AffinityKey, upstream_id: &str) -> u64 {
    xxh3_64_with_seed(upstream_id.as_bytes(), key.0)
}

/// What must agree for a cached part to be found: the version of the weights, and the client
/// account if it shares nothing.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Scope(pub String);

impl Scope {
    /// Returns the scope of a request.
    pub fn new(version: WeightsVersion, isolated_account: Option<&str>) -> Self {
        match isolated_account {
            None => Self(format!("w{}", version.0)),
            Some(account) => Self(format!("w{}/{account}", version.0)),
        }
    }
}
