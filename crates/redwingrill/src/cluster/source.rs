//! Peers as a source of configuration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use super::handler::PeerHandler;
use super::messages::View;
use redwingrill_config::ChunkHash;
use redwingrill_config::ChunkSource;
use redwingrill_config::Generation;
use redwingrill_peer::PeerEndpoint;

/// How long one peer may take for a manifest or a chunk.
const CALL: Duration = Duration::from_millis(700);

/// Holders that are asked for the manifest, one after another.
const HOLDERS_ASKED: usize = 3;

/// Hands the follower what peers hold. A node without peers hands it nothing.
#[derive(Clone, Debug)]
pub struct PeerChunks {
    peers: Option<PeerEndpoint<PeerHandler>>,
    view: watch::Receiver<View>,
}

impl PeerChunks {
    pub(super) fn new(peers: PeerEndpoint<PeerHandler>, view: watch::Receiver<View>) -> Self {
        Self { peers: Some(peers), view }
    }

    /// Makes the source of a node without peers.
    pub fn none() -> Self {
        let (_, view) = watch::channel(View { live_nodes: 1, ..View::default() });
        Self { peers: None, view }
    }

    /// Returns a few holders of the newest generation, those this node has connections to first.
    fn holders(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let (mut asked, _) = view.dialled_holders();
        let others = view.holders.choose_multiple(&mut rand::rng(), HOLDERS_ASKED);
        asked.extend(others.filter(|other| !view.dialled.contains(other)));
        asked.truncate(HOLDERS_ASKED);
        asked
    }

    /// Returns the peers to ask for a chunk: those this node has connections to, holders of the
    /// newest generation first, then one other holder.
    ///
    /// Nodes that start together hold chunks before any has the configuration in force, and one
    /// holder alone could not serve a whole fleet; links spread the work evenly.
    fn keepers(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let (mut asked, others) = view.dialled_holders();
        asked.extend(others);
        let holder = view.holders.choose(&mut rand::rng());
        asked.extend(holder.filter(|holder| !view.dialled.contains(holder)));
        asked
    }
}

impl View {
    /// Returns the peers with connections, parted into holders of the newest generation and others.
    fn dialled_holders(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        self.dialled.iter().copied().partition(|address| self.holders.contains(address))
    }
}

impl ChunkSource for PeerChunks {
    fn newest_generation(&self) -> Generation {
        Generation(self.view.borrow().newest_generation)
    }

    async fn newest_manifest(&self) -> Option<Bytes> {
        let peers = self.peers.as_ref()?;
        for address in self.holders() {
            let answer = peers.call(address, async |peer| peer.manifest(CALL).await).await;
            if let Ok(Some(manifest)) = answer {
                return Some(manifest.into());
            }
        }
        None
    }

    async fn chunk(&self, hash: ChunkHash) -> Option<Bytes> {
        let peers = self.peers.as_ref()?;
        for address in self.keepers() {
            let answer = peers.call(address, async |peer| peer.chunk(hash.0, CALL).await).await;
            if let Ok(Some(chunk)) = answer {
                return Some(chunk.into());
            }
        }
        None
    }

    fn live_nodes(&self) -> usize {
        self.view.borrow().live_nodes
    }
}
