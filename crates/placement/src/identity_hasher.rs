//! A hasher for keys that are already hashes.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

use crate::blocks::BlockHash;

/// A map keyed by block hash.
pub(crate) type BlockMap<V> = HashMap<BlockHash, V, BuildHasherDefault<IdentityHasher>>;

/// A hasher that returns a 64-bit key unchanged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}
