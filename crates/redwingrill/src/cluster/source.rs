//! Peers as a source of configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time::Instant;

use super::handler::PeerHandler;
use super::messages::View;
use redwingrill_config::ChunkHash;
use redwingrill_config::ChunkSource;
use redwingrill_config::Generation;
use redwingrill_peer::Peers;

/// How long one peer may take for a manifest or a chunk.
const CALL: Duration = Duration::from_millis(700);

/// Peers that are asked besides one that surely holds what is asked for. Nodes that start
/// together hold chunks before any has the configuration in force, and one holder alone could not
/// serve a whole fleet.
const OTHERS_ASKED: usize = 2;

/// Holders that are asked for the manifest, one after another.
const HOLDERS_ASKED: usize = 3;

/// How long the same peers are asked, so that a fetch opens few connections.
const PICK_KEPT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Pick {
    addresses: Vec<SocketAddr>,
    generation: u64,
    at: Instant,
}

/// Hands the follower what peers hold. A node without peers hands it nothing.
#[derive(Clone, Debug)]
pub struct PeerChunks {
    peers: Option<Peers<PeerHandler>>,
    view: watch::Receiver<View>,
    picked: Arc<Mutex<Option<Pick>>>,
}

impl PeerChunks {
    pub(super) fn new(peers: Peers<PeerHandler>, view: watch::Receiver<View>) -> Self {
        Self { peers: Some(peers), view, picked: Arc::default() }
    }

    /// Makes the source of a node without peers.
    pub fn none() -> Self {
        let (_, view) = watch::channel(View { live_nodes: 1, ..View::default() });
        Self { peers: None, view, picked: Arc::default() }
    }

    /// Returns a few holders of the newest generation: others would answer with an older one.
    fn holders(&self) -> Vec<SocketAddr> {
        let holders = self.view.borrow().holders.clone();
        holders.choose_multiple(&mut rand::rng(), HOLDERS_ASKED).copied().collect()
    }

    /// Returns the peers to ask for chunks, at random and kept for a while.
    fn asked(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let mut picked = self.picked.lock().expect("no holder panics");
        let is_kept = |pick: &&Pick| {
            pick.generation == view.newest_generation
                && pick.at.elapsed() < PICK_KEPT
                && !pick.addresses.is_empty()
        };
        if let Some(pick) = picked.as_ref().filter(is_kept) {
            return pick.addresses.clone();
        }
        let addresses = pick_from(&view);
        let pick = Pick { addresses, generation: view.newest_generation, at: Instant::now() };
        picked.insert(pick).addresses.clone()
    }
}

fn pick_from(view: &View) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let mut addresses: Vec<SocketAddr> =
        view.usable.choose_multiple(&mut rng, OTHERS_ASKED).copied().collect();
    if let Some(&holder) = view.holders.choose(&mut rng)
        && !addresses.contains(&holder)
    {
        addresses.push(holder);
    }
    addresses
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
        for address in self.asked() {
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
