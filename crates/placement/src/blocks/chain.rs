//! The hash chain over the blocks of a prompt.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hash of a prefix that ends at a block boundary.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// Returns the hash of this prefix extended by one block.
    pub fn extend(self, block: &[u8]) -> Self {
        Self(xxh3_64_with_seed(block, self.0))
    }
}

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The root of a hash chain. All block hashes of a prompt depend on it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct ChainRoot(u64);

impl ChainRoot {
    /// Creates the root for a cache salt (the client account), a model and its weights version.
    pub fn new(cache_salt: &str, model: &str, weights_version: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [cache_salt, model, weights_version] {
            // Without the length, ("ab", "c") and ("a", "bc") would have the same hash.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut seed = [0; 8];
        seed.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(seed))
    }

    /// Returns the hash of the empty prefix.
    pub fn empty_prefix(self) -> BlockHash {
        BlockHash(self.0)
    }
}
