//! The identity of a stream.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a stream: a hash of the identifier of the attempt that began it.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of an identifier of any length.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

// A hash has no small values, so a number of variable length would be longer than its bytes.
impl From<[u8; 8]> for StreamKey {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<StreamKey> for [u8; 8] {
    fn from(key: StreamKey) -> Self {
        key.0.to_le_bytes()
    }
}
