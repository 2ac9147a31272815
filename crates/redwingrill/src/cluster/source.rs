//! Fetches the configuration from peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use super::handler::PeerHandler;
use super::messages::PeerView;
use redwingrill_config::ChunkHash;
use redwingrill_config::ChunkSource;
use redwingrill_config::Generation;
use redwingrill_peer::PeerEndpoint;

/// Timeout of a manifest or chunk call to one peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of peers that are tried for the manifest, one after another.
const MANIFEST_PEERS_LIMIT: usize = 3;

/// Provides the follower with manifests and chunks of peers; empty on a node without peers.
#[derive(Clone, Debug)]
pub struct PeerChunks {
    peers: Option<PeerEndpoint<PeerHandler>>,
    view: watch::Receiver<PeerView>,
}

impl PeerChunks {
    pub(super) fn new(peers: PeerEndpoint<PeerHandler>, view: watch::Receiver<PeerView>) -> Self {
        Self { peers: Some(peers), view }
    }

    /// Creates the empty source of a node without peers.
    pub fn none() -> Self {
        let (_, view) = watch::channel(PeerView { live_nodes: 1, ..PeerView::default() });
        Self { peers: None, view }
    }

    /// Returns up to [`MANIFEST_PEERS_LIMIT`] holders of the newest generation, connected ones first.
    fn manifest_peers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let (mut candidates, _) = view.partition_outbound();
        let others = view.holders.choose_multiple(&mut rand::rng(), MANIFEST_PEERS_LIMIT);
        candidates.extend(others.filter(|other| !view.outbound.contains(other)));
        candidates.truncate(MANIFEST_PEERS_LIMIT);
        candidates
    }

    /// Returns the peers to try for a chunk: connected peers, holders of the newest generation
    /// first, then one other holder.
    ///
    /// Connected peers without the generation are included because nodes that start together
    /// have chunks before any of them has the configuration in force, and a single holder could
    /// not serve a whole fleet. Outbound links spread the load evenly.
    fn chunk_peers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let (mut candidates, others) = view.partition_outbound();
        candidates.extend(others);
        let holder = view.holders.choose(&mut rand::rng());
        candidates.extend(holder.filter(|holder| !view.outbound.contains(holder)));
        candidates
    }
}

impl PeerView {
    /// Splits the connected peers into holders of the newest generation and others.
    fn partition_outbound(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        self.outbound.iter().copied().partition(|address| self.holders.contains(address))
    }
}

impl ChunkSource for PeerChunks {
    fn newest_generation(&self) -> Generation {
        Generation(self.view.borrow().newest_generation)
    }

    async fn newest_manifest(&self) -> Option<Bytes> {
        let peers = self.peers.as_ref()?;
        for address in self.manifest_peers() {
            let response =
                peers.call(address, async |peer| peer.manifest(CALL_TIMEOUT).await).await;
            if let Ok(Some(manifest)) = response {
                return Some(manifest.into());
            }
        }
        None
    }

    async fn chunk(&self, hash: ChunkHash) -> Option<Bytes> {
        let peers = self.peers.as_ref()?;
        for address in self.chunk_peers() {
            let response =
                peers.call(address, async |peer| peer.chunk(hash.0, CALL_TIMEOUT).await).await;
            if let Ok(Some(chunk)) = response {
                return Some(chunk.into());
            }
        }
        None
    }

    fn live_nodes(&self) -> usize {
        self.view.borrow().live_nodes
    }
}
