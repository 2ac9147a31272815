//! The interface through which a follower fetches from its peers.

use std::future::Future;

use bytes::Bytes;

use crate::ChunkHash;
use crate::Generation;

/// The peers of a node, as a source of configuration.
///
/// The follower verifies responses and applies timeouts. Methods return `None` if no peer can serve
/// the call.
pub trait ChunkSource: Clone + Send + Sync + 'static {
    /// Returns the highest generation that a live peer is known to have in force, without a call.
    fn newest_generation(&self) -> Generation;

    /// Fetches the encoded manifest of the highest generation in force among peers.
    fn newest_manifest(&self) -> impl Future<Output = Option<Bytes>> + Send;

    /// Fetches a chunk from peers.
    fn chunk(&self, hash: ChunkHash) -> impl Future<Output = Option<Bytes>> + Send;

    /// Returns the number of nodes that appear live, including this one. A starting node without
    /// contact to peers counts all nodes that it knows of, since all of them may be starting.
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
