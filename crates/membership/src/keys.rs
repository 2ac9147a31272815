//! Short hash keys for names, identical on every node.
//!
//! Interned identifiers differ between processes, so the digest identifies objects by name hashes.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The key of a node: a 64-bit hash of its name.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct NodeKey(pub u64);

impl NodeKey {
    /// Returns the key of the node with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// The key of an upstream: a 32-bit hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct UpstreamKey(pub u32);

impl UpstreamKey {
    /// Returns the key of the upstream with this name.
    pub fn of(name: &str) -> Self {
        Self(short_hash(name))
    }
}

/// The key of a client account: a 32-bit hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AccountKey(pub u32);

impl AccountKey {
    /// Returns the key of the client account with this name.
    pub fn of(name: &str) -> Self {
        Self(short_hash(name))
    }
}

fn short_hash(name: &str) -> u32 {
    // Intentionally truncated to the upper half of the hash.
    (xxh3_64(name.as_bytes()) >> 32) as u32
}
