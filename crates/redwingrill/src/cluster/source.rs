//! Peers as a source of configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::SliceRandom;
use tokio::sync::watch;

use super::handler::PeerHandler;
use super::messages::View;
use redwingrill_config::ChunkHash;
use redwingrill_config::ChunkSource;
use redwingrill_config::Generation;
use redwingrill_peer::Peers;

/// How long one peer may take for a manifest or a chunk.
const CALL: Duration = Duration::from_millis(700);

/// Peers that are asked, one after another, before the call is given up.
const PEERS_ASKED: usize = 3;

/// Hands the follower what peers hold. A node without peers hands it nothing.
#[derive(Clone, Debug)]
pub struct PeerChunks {
    peers: Option<Peers<PeerHandler>>,
    view: watch::Receiver<View>,
}

impl PeerChunks {
    pub(super) fn new(peers: Peers<PeerHandler>, view: watch::Receiver<View>) -> Self {
        Self { peers: Some(peers), view }
    }

    /// Makes the source of a node without peers.
    pub fn none() -> Self {
        let (_, view) = watch::channel(View { live_nodes: 1, ..View::default() });
        Self { peers: None, view }
    }

    /// Returns a few holders of the newest generation, at random, so that none serves them all.
    fn holders(&self) -> Vec<SocketAddr> {
        let holders: Arc<[SocketAddr]> = self.view.borrow().holders.clone();
        let mut holders = holders.to_vec();
        holders.shuffle(&mut rand::rng());
        holders.truncate(PEERS_ASKED);
        holders
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
        for address in self.holders() {
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
