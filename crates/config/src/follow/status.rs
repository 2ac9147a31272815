//! What a follower tells for the dump.

use serde::Serialize;

/// The state of a follower.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct FollowerStatus {
    /// The generation in force; zero for none.
    pub generation: u64,
    /// The generation that is being fetched.
    pub pending_generation: Option<u64>,
    /// Whether a watch is open.
    pub watch_open: bool,
    /// The chunks held.
    pub chunks: usize,
    /// Their size.
    pub chunk_bytes: usize,
    /// The calls made to the platform's store.
    pub store_calls: u64,
    /// Polls of the store that failed.
    pub failed_calls: u64,
    /// Chunks that a peer handed.
    pub chunks_from_peers: u64,
    /// Chunks that the store held.
    pub chunks_from_store: u64,
}
