//! Peers as a source of configuration.

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

/// How long one peer may take for a manifest or a chunk.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Holders that are asked for the manifest, one after another.
const MANIFEST_PEERS_LIMIT: usize = 3;

/// Hands the follower what peers hold. A node without peers hands it nothing.
#[derive(Clone, Debug)]
pub struct PeerChunks {
    peers: Option<PeerEndpoint<PeerHandler>>,
    view: watch::Receiver<PeerView>,
}

impl PeerChunks {
    pub(super) fn new(peers: PeerEndpoint<PeerHandler>, view: watch::Receiver<PeerView>) -> Self {
        Self { peers: Some(peers), view }
    }

    /// Makes the source of a node without peers.
    pub fn none() -> Self {
        let (_, view) = watch::channel(PeerView { live_nodes: 1, ..PeerView::default() });
        Self { peers: None, view }
    }

    /// Returns a few holders of the newest generation, those this node has connections to first.
    fn manifest_peers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let (mut candidates, _) = view.partition_outbound();
        let others = view.holders.choose_multiple(&mut rand::rng(), MANIFEST_PEERS_LIMIT);
        candidates.extend(others.filter(|other| !view.outbound.contains(other)));
        candidates.truncate(MANIFEST_PEERS_LIMIT);
        candidates
    }

    /// Returns the peers to ask for a chunk: those this node has connections to, holders of the
    /// newest generation first, then one other holder.
    ///
    /// Nodes that start together hold chunks before any has the configuration in force, and one
    /// holder alone could not serve a whole fleet; links spread the work evenly.
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
    /// Returns the peers with connections, parted into holders of the newest generation and others.
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
