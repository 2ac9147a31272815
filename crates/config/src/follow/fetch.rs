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
    let sources =
        Sources { store, source, peers: AtomicBool::new(true), reads: AtomicBool::new(true) };
    let mut fetches = Vec::with_capacity(wanted.len());
    for wanted in wanted {
        fetches.push(sources.fetch(wanted).boxed());
    }
    stream::iter(fetches).buffer_unordered(FETCHES_AT_ONCE).collect().await
}

/// Where chunks come from, and whether it answered so far in this round. What did not answer once is
/// left alone for the rest of the round, so that no round takes long.
struct Sources<'a, S, C> {
    store: &'a S,
    source: &'a C,
    peers: AtomicBool,
    reads: AtomicBool,
}

impl<S: Store, C: ChunkSource> Sources<'_, S, C> {
    async fn fetch(&self, wanted: &Wanted) -> Fetched {
        let hash = wanted.chunk.hash;
        if let Some(bytes) = self.ask_peers(hash).await {
            return Fetched::FromPeer(hash, bytes);
        }
        if !wanted.store_allowed || !self.reads.load(Ordering::Relaxed) {
            return Fetched::Deferred;
        }
        match read_chunk(self.store, &wanted.chunk).await {
            Ok(bytes) => Fetched::FromStore(hash, bytes),
            Err(StorageError::ChunkMissing { .. }) => Fetched::Gone,
            Err(_) => {
                self.reads.store(false, Ordering::Relaxed);
                Fetched::Failed
            }
        }
    }

    async fn ask_peers(&self, hash: ChunkHash) -> Option<Bytes> {
        if !self.peers.load(Ordering::Relaxed) {
            return None;
        }
        match tokio::time::timeout(PEER_TIMEOUT, self.source.chunk(hash)).await {
            Ok(answer) => answer.filter(|bytes| ChunkHash::of(bytes) == hash),
            Err(_) => {
                self.peers.store(false, Ordering::Relaxed);
                None
            }
        }
    }
}
