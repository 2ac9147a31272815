//! The configuration data that a node serves to its peers.
//!
//! Invariants: the manifest is that of the configuration in force; every chunk is stored under its
//! own hash. Chunks are available as soon as they are fetched, so that nodes that start together
//! can fetch them from each other.

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

/// The manifest in force and the chunks of a node. Clones share the data.
#[derive(Clone, Debug, Default)]
pub struct ConfigCache {
    state: Arc<Mutex<CacheState>>,
}

impl ConfigCache {
    /// Returns the generation in force; zero for none.
    pub fn generation(&self) -> Generation {
        self.lock().generation
    }

    /// Returns the encoded manifest in force, if there is one.
    pub fn manifest(&self) -> Option<Bytes> {
        self.lock().manifest.clone()
    }

    /// Returns the bytes of a chunk, if it is cached.
    pub fn chunk(&self, hash: ChunkHash) -> Option<Bytes> {
        self.lock().chunks.get(&hash).cloned()
    }

    /// Returns the number of chunks and their total size in bytes.
    pub fn size(&self) -> (usize, usize) {
        let state = self.lock();
        (state.chunks.len(), state.chunks.values().map(Bytes::len).sum())
    }

    /// Inserts a chunk. The caller has verified its hash.
    pub(crate) fn insert(&self, hash: ChunkHash, bytes: Bytes) {
        self.lock().chunks.insert(hash, bytes);
    }

    /// Puts a manifest in force and drops chunks that neither it nor its predecessor refers to.
    pub(crate) fn adopt(&self, manifest: &Manifest) {
        let needed = manifest.chunks.iter().chain(&manifest.retired);
        let needed: HashSet<ChunkHash> = needed.map(|chunk| chunk.hash).collect();
        let mut state = self.lock();
        state.generation = manifest.generation;
        state.manifest = Some(manifest.encode());
        state.chunks.retain(|hash, _| needed.contains(hash));
    }

    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}
