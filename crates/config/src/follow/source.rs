//! What a follower takes from its peers.

use std::future::Future;

use bytes::Bytes;

use crate::ChunkHash;
use crate::Generation;

/// The peers of a node, as a source of configuration.
///
/// An answer is verified by the follower. A call that cannot be served returns nothing; callers
/// bound the wait.
pub trait ChunkSource: Clone + Send + Sync + 'static {
    /// Returns the highest generation that a live peer is known to have in force, without a call.
    fn newest_generation(&self) -> Generation;

    /// Asks peers for the encoded manifest of the highest generation they have in force.
    fn newest_manifest(&self) -> impl Future<Output = Option<Bytes>> + Send;

    /// Asks peers for a chunk.
    fn chunk(&self, hash: ChunkHash) -> impl Future<Output = Option<Bytes>> + Send;

    /// Returns how many nodes are believed to live, with this one. A node that starts and has met
    /// nobody yet counts those that it was told of, since all of them may be starting.
    fn live_nodes(&self) -> usize;
}

/// A node without peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl ChunkSource for NoPeers {
    fn newest_generation(&self) -> Generation {
        Generation::default()
    }

    async fn newest_manifest(&self) -> Option<Bytes> {
        None
    }

    async fn chunk(&self, _hash: ChunkHash) -> Option<Bytes> {
        None
    }

    fn live_nodes(&self) -> usize {
        1
    }
}
