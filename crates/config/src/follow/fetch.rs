//! Fetches the chunks of a manifest, from peers first and then from the store.

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

/// The timeout of fetching a chunk from peers.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of chunks that are fetched concurrently.
const FETCH_CONCURRENCY: usize = 8;

/// A chunk to fetch.
#[derive(Clone, Copy, Debug)]
pub struct ChunkRequest {
    /// The chunk.
    pub chunk: ChunkRef,
    /// Whether it may be read from the store.
    pub store_allowed: bool,
}

/// The outcome of fetching one chunk.
#[derive(Debug)]
pub enum FetchOutcome {
    /// A peer returned it.
    FromPeer(ChunkHash, Bytes),
    /// The store returned it.
    FromStore(ChunkHash, Bytes),
    /// The store does not contain it: the manifest that refers to it was replaced.
    Missing,
    /// Neither a peer nor the store responded.
    Failed,
    /// No peer had it, and it was not requested from the store.
    Deferred,
}

/// Fetches chunks concurrently. The outcomes are in the order of completion.
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

/// The sources of chunks, and whether each has responded so far in this round. A source that fails
/// to respond once is not used for the rest of the round, which bounds the length of a round.
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
