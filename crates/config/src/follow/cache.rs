//! What a node can hand to its peers.
//!
//! Invariants: the manifest is of the configuration in force; every chunk has the hash it is kept
//! under. Chunks are there as soon as they are fetched, so that nodes that start together take
//! them from one another.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;

use crate::ChunkHash;
use crate::Generation;
use crate::Manifest;

#[derive(Debug, Default)]
struct CacheState {
    generation: Generation,
    manifest: Option<Bytes>,
    chunks: HashMap<ChunkHash, Bytes>,
}

/// The manifest in force and chunks of a node. Clones share the data.
#[derive(Clone, Debug, Default)]
pub struct ConfigCache {
    state: Arc<Mutex<CacheState>>,
}

impl ConfigCache {
    /// Returns the generation in force; zero for none.
    pub fn generation(&self) -> Generation {
        self.lock().generation
    }

    /// Returns the encoded manifest in force.
    pub fn manifest(&self) -> Option<Bytes> {
        self.lock().manifest.clone()
    }

    /// Returns a chunk.
    pub fn chunk(&self, hash: ChunkHash) -> Option<Bytes> {
        self.lock().chunks.get(&hash).cloned()
    }

    /// Returns the number of chunks and their size in bytes.
    pub fn size(&self) -> (usize, usize) {
        let state = self.lock();
        (state.chunks.len(), state.chunks.values().map(Bytes::len).sum())
    }

    /// Keeps a chunk whose hash was verified.
    pub(crate) fn insert(&self, hash: ChunkHash, bytes: Bytes) {
        self.lock().chunks.insert(hash, bytes);
    }

    /// Puts a manifest in force, and drops chunks that neither it nor the one before needs.
    pub(crate) fn adopt(&self, manifest: &Manifest) {
        let needed = manifest.chunks.iter().chain(&manifest.retired);
        let needed: HashSet<ChunkHash> = needed.map(|chunk| chunk.hash).collect();
        let mut state = self.lock();
        state.generation = manifest.generation;
        state.manifest = Some(manifest.encode());
        state.chunks.retain(|hash, _| needed.contains(hash));
    }

    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().expect("no holder panics")
    }
}
