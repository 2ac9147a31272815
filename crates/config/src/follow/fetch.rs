//! Fetching the chunks of a manifest, from peers first.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::future::FutureExt;
use futures::stream;
use futures::stream::StreamExt;

use super::ChunkSource;
use crate::ChunkHash;
use crate::ChunkRef;
use crate::StorageError;
use crate::storage::read_chunk;
use redwingrill_ports::Store;

/// How long a peer may take to hand a chunk.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// How many chunks are fetched at the same time.
const FETCH_CONCURRENCY: usize = 8;

/// A chunk to fetch.
#[derive(Clone, Copy, Debug)]
pub struct ChunkRequest {
    /// The chunk.
    pub chunk: ChunkRef,
    /// Whether the store may be asked for it.
    pub store_allowed: bool,
}

/// What became of one chunk.
#[derive(Debug)]
pub enum FetchOutcome {
    /// A peer handed it.
    FromPeer(ChunkHash, Bytes),
    /// The store held it.
    FromStore(ChunkHash, Bytes),
    /// The store does not hold it: the manifest that refers to it was replaced.
    Missing,
    /// Nobody answered.
    Failed,
    /// No peer had it and the store was not asked.
    Deferred,
}

/// Fetches chunks.
pub async fn fetch_chunks<S: Store, C: ChunkSource>(
    store: &S,
    source: &C,
    requests: &[ChunkRequest],
) -> Vec<FetchOutcome> {
    let sources = Sources {
        store,
        source,
        peers_responding: AtomicBool::new(true),
        store_responding: AtomicBool::new(true),
    };
    let mut fetches = Vec::with_capacity(requests.len());
    for request in requests {
        fetches.push(sources.fetch(request).boxed());
    }
    stream::iter(fetches).buffer_unordered(FETCH_CONCURRENCY).collect().await
}

/// Where chunks come from, and whether it answered so far in this round. What did not answer once is
/// left alone for the rest of the round, so that no round takes long.
struct Sources<'a, S, C> {
    store: &'a S,
    source: &'a C,
    peers_responding: AtomicBool,
    store_responding: AtomicBool,
}

impl<S: Store, C: ChunkSource> Sources<'_, S, C> {
    async fn fetch(&self, request: &ChunkRequest) -> FetchOutcome {
        let hash = request.chunk.hash;
        if let Some(bytes) = self.fetch_from_peers(hash).await {
            return FetchOutcome::FromPeer(hash, bytes);
        }
        if !request.store_allowed || !self.store_responding.load(Ordering::Relaxed) {
            return FetchOutcome::Deferred;
        }
        match read_chunk(self.store, &request.chunk).await {
            Ok(bytes) => FetchOutcome::FromStore(hash, bytes),
            Err(StorageError::ChunkMissing { .. }) => FetchOutcome::Missing,
            Err(_) => {
                self.store_responding.store(false, Ordering::Relaxed);
                FetchOutcome::Failed
            }
        }
    }

    async fn fetch_from_peers(&self, hash: ChunkHash) -> Option<Bytes> {
        if !self.peers_responding.load(Ordering::Relaxed) {
            return None;
        }
        match tokio::time::timeout(PEER_TIMEOUT, self.source.chunk(hash)).await {
            Ok(response) => response.filter(|bytes| ChunkHash::of(bytes) == hash),
            Err(_) => {
                self.peers_responding.store(false, Ordering::Relaxed);
                None
            }
        }
    }
}
