//! Export to and import from a KV cache store.
//!
//! Neither may hold a request up: exports are queued and dropped when the queue is full, and a
//! store that does not answer soon holds nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::cache_store::BlockList;
use crate::cache_store::Held;
use crate::engine::BlockHash;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const QUEUED_EXPORTS: usize = 256;
const REPLY_LIMIT_BYTES: usize = 1 << 16;
const WAIT: Duration = Duration::from_millis(100);
const TIMEOUTS: Timeouts = Timeouts { connect: WAIT, head: WAIT };

/// The engine's way to KV cache stores.
#[derive(Clone, Debug)]
pub struct Transfer {
    pool: Pool,
    exports: mpsc::Sender<Vec<BlockHash>>,
}

/// What is to be exported.
pub type Exports = mpsc::Receiver<Vec<BlockHash>>;

impl Transfer {
    /// Makes a way, and the queue of exports that a task is to carry out.
    pub fn new() -> (Self, Exports) {
        let (exports, queue) = mpsc::channel(QUEUED_EXPORTS);
        (Self { pool: Pool::new(), exports }, queue)
    }

    /// Queues the blocks of a chain for export.
    pub fn export(&self, chain: &[BlockHash]) {
        // A full queue costs a later import only.
        let _ = self.exports.try_send(chain.to_vec());
    }

    /// Returns how many blocks at the start of a chain a store holds.
    pub async fn held(&self, store: SocketAddr, chain: &[BlockHash]) -> usize {
        self.post(store, "/blocks/lookup", chain).await.map_or(0, |held: Held| held.held)
    }

    /// Carries out exports until told to stop, and closes the connections.
    pub async fn run_exports(self, store: SocketAddr, mut queue: Exports, stop: CancellationToken) {
        loop {
            let chain = tokio::select! {
                () = stop.cancelled() => break,
                chain = queue.recv() => chain,
            };
            let Some(chain) = chain else { break };
            self.post::<Held>(store, "/blocks", &chain).await;
        }
        self.pool.close().await;
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        store: SocketAddr,
        path: &str,
        chain: &[BlockHash],
    ) -> Option<T> {
        let body = serde_json::to_vec(&BlockList::from(chain)).ok()?;
        let request = Request::post(path).header("host", store.to_string());
        let request = request.body(Bytes::from(body)).ok()?;
        let reply = self.pool.send(store, request, Freshness::Any, &TIMEOUTS).await.ok()?;
        let body = reply.into_body().read_all(REPLY_LIMIT_BYTES, WAIT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
