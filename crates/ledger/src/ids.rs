//! Identifiers of orders, attempts and shards, and the clock reading.

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
        // The length prefix keeps distinct pairs from producing the same hash input.
        hasher.update(&(account.len() as u64).to_le_bytes());
        hasher.update(account.as_bytes());
        hasher.update(key.as_str().as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the first eight bytes. Retired pages keep only these.
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

/// Identifies one order of one service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OrderKey {
    /// The service's name.
    pub service: Arc<str>,
    /// The hash of the client account and its Idempotency-Key.
    pub hash: KeyHash,
}

impl OrderKey {
    /// Returns the shard of the order when its service has `shards` shards.
    pub fn shard(&self, shards: u16) -> ShardId {
        let index = self.hash.short() % u64::from(shards.max(1));
        ShardId { service: self.service.clone(), index: index as u16 }
    }
}

/// Identifies one shard of a service's orders.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ShardId {
    /// The service's name.
    pub service: Arc<str>,
    /// The index of the shard within its service.
    pub index: u16,
}

/// Identifies one attempt of a request to become the sender of an order. Random and never reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

/// The fencing number that an upstream compares, if it checks fencing. Each new sender of an order
/// gets a higher number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// The fencing number of an order's first sender.
    pub const FIRST: Self = Self(1);

    /// Returns the next higher number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A reading of the monotonic clock and the wall clock at the same moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ClockReading {
    /// The monotonic clock, in milliseconds.
    pub monotonic_ms: u64,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl ClockReading {
    /// Returns the time since `then` in milliseconds, by whichever clock advanced more: either may
    /// stop while the instance is suspended.
    pub fn since_ms(self, then: Self) -> u64 {
        let monotonic_ms = self.monotonic_ms.saturating_sub(then.monotonic_ms);
        let wall_ms = self.wall_ms.saturating_sub(then.wall_ms);
        monotonic_ms.max(wall_ms)
    }
}
