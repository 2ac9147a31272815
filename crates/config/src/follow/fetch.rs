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
const FETCHES_AT_ONCE: usize = 8;

/// A chunk to fetch.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// The chunk.
    pub chunk: ChunkRef,
    /// Whether the store may be asked for it.
    pub store_allowed: bool,
}

/// What became of one chunk.
#[derive(Debug)]
pub enum Fetched {
    /// A peer handed it.
    FromPeer(ChunkHash, Bytes),
    /// The store held it.
    FromStore(ChunkHash, Bytes),
    /// The store does not hold it: the manifest that refers to it was replaced.
    Gone,
    /// Nobody answered.
    Failed,
    /// No peer had it and the store was not asked.
    Deferred,
}

/// Fetches chunks.
pub async fn fetch_chunks<S: Store, C: ChunkSource>(
    store: &S,
    source: &C,
    wanted: &[Wanted],
) -> Vec<Fetched> {
    // One silent peer is enough to leave peers alone for the rest of this round.
    let peers_answer = AtomicBool::new(true);
    let mut fetches = Vec::with_capacity(wanted.len());
    for wanted in wanted {
        fetches.push(fetch(store, source, wanted, &peers_answer).boxed());
    }
    stream::iter(fetches).buffer_unordered(FETCHES_AT_ONCE).collect().await
}

async fn fetch<S: Store, C: ChunkSource>(
    store: &S,
    source: &C,
    wanted: &Wanted,
    peers_answer: &AtomicBool,
) -> Fetched {
    let hash = wanted.chunk.hash;
    if peers_answer.load(Ordering::Relaxed) {
        match tokio::time::timeout(PEER_TIMEOUT, source.chunk(hash)).await {
            Ok(Some(bytes)) if ChunkHash::of(&bytes) == hash => {
                return Fetched::FromPeer(hash, bytes);
            }
            Ok(_) => {}
            Err(_) => peers_answer.store(false, Ordering::Relaxed),
        }
    }
    if !wanted.store_allowed {
        return Fetched::Deferred;
    }
    match read_chunk(store, &wanted.chunk).await {
        Ok(bytes) => Fetched::FromStore(hash, bytes),
        Err(StorageError::ChunkMissing { .. }) => Fetched::Gone,
        Err(_) => Fetched::Failed,
    }
}
