//! Handles the calls of peers.

use std::sync::Arc;
use std::sync::OnceLock;

use tokio::sync::oneshot;

use super::messages::ClusterHandle;
use super::messages::Message;
use redwingrill_config::ChunkHash;
use redwingrill_config::ConfigCache;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;
use redwingrill_peer::Handler;
use redwingrill_peer::PeerConnection;

/// Handles peer calls with the cluster task and the configuration cache.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    task: ClusterHandle,
    // Set when the configuration follower starts; until then nothing is served.
    cache: Arc<OnceLock<ConfigCache>>,
}

impl PeerHandler {
    pub(super) fn new(task: ClusterHandle) -> Self {
        Self { task, cache: Arc::default() }
    }

    pub(super) fn serve_from(&self, cache: ConfigCache) {
        // A node has one cache; a second call would set the same one.
        let _already_set = self.cache.set(cache).is_err();
    }
}

impl Handler for PeerHandler {
    async fn exchange(
        &self,
        caller: &PeerConnection,
        link: LinkId,
        frame: Frame,
    ) -> ExchangeResponse {
        let (reply, response) = oneshot::channel();
        let caller = caller.clone();
        if !self.task.try_send(Message::Exchange { caller, link, frame, reply }) {
            return ExchangeResponse::Reset;
        }
        response.await.unwrap_or(ExchangeResponse::Reset)
    }

    async fn nudge(&self, link: LinkId) {
        self.task.send(Message::Nudge { link }).await;
    }

    async fn manifest(&self) -> Option<Vec<u8>> {
        self.cache.get()?.manifest().map(Vec::from)
    }

    async fn chunk(&self, hash: [u8; 32]) -> Option<Vec<u8>> {
        self.cache.get()?.chunk(ChunkHash(hash)).map(Vec::from)
    }

    async fn ledger(&self, _request: Vec<u8>) -> Option<Vec<u8>> {
        None
    }
}
