//! Identifiers of orders, attempts and shards.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::IdempotencyKey;

/// The hash of a client account and its Idempotency-Key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
    /// Hashes a key within its client account.
    pub fn of(account: &str, key: &IdempotencyKey) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length parts the two texts, so that no two pairs hash the same input.
        hasher.update(&(account.len() as u64).to_le_bytes());
        hasher.update(account.as_bytes());
        hasher.update(key.as_str().as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the first eight bytes, which are kept of a retired record.
    pub fn short(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(bytes)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One order of one service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OrderKey {
    /// The service's name.
    pub service: Arc<str>,
    /// The hash of account and key.
    pub hash: KeyHash,
}

impl OrderKey {
    /// Returns the shard of the order, out of `shards`.
    pub fn shard(&self, shards: u16) -> ShardId {
        let index = self.hash.short() % u64::from(shards.max(1));
        ShardId { service: self.service.clone(), index: index as u16 }
    }
}

/// A share of one service's orders.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ShardId {
    /// The service's name.
    pub service: Arc<str>,
    /// The number of the shard.
    pub index: u16,
}

/// One try of one caller's request to become the sender of an order. Random, and never used twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

/// The number that an upstream which checks fencing compares. It grows with each new sender.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// The number of an order's first sender.
    pub const FIRST: Self = Self(1);

    /// Returns the next higher number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The two clocks at one moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic_ms: u64,
    /// The wall clock, since the Unix epoch.
    pub wall_ms: u64,
}

impl ClockReading {
    /// Returns how long ago `then` was, by the clock that says longer: either may stand still
    /// while the instance is suspended.
    pub fn since_ms(self, then: Self) -> u64 {
        let monotonic_ms = self.monotonic_ms.saturating_sub(then.monotonic_ms);
        let wall_ms = self.wall_ms.saturating_sub(then.wall_ms);
        monotonic_ms.max(wall_ms)
    }
}
