//! The state of a follower, as shown in the dump.

use serde::Serialize;

/// The state of a follower.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct FollowerStatus {
    /// The generation in force; zero for none.
    pub generation: u64,
    /// The generation that is being fetched, if any.
    pub pending_generation: Option<u64>,
    /// Whether a watch on the manifest is open.
    pub watch_open: bool,
    /// The number of cached chunks.
    pub chunks: usize,
    /// The total size of the cached chunks, in bytes.
    pub chunk_bytes: usize,
    /// The number of calls to the platform's store.
    pub store_calls: u64,
    /// The number of failed polls of the store.
    pub failed_calls: u64,
    /// The number of chunks fetched from peers.
    pub chunks_from_peers: u64,
    /// The number of chunks fetched from the store.
    pub chunks_from_store: u64,
}
