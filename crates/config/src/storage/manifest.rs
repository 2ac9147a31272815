//! The manifest: the one value whose swap accepts a configuration.
//!
//! Invariants: the generation is one higher than that of the manifest it replaced; the history
//! names the applies accepted before, the latest first. By the history an old copy of the store
//! is told from an apply that was accepted on top of an old copy.

use std::collections::HashSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::StorageError;
use super::chunk::Chunk;
use super::chunk::ChunkHash;
use crate::Generation;

/// The key of the manifest in the platform's store.
pub const MANIFEST_KEY: &str = "redwingrill/config/manifest";

/// The prefix of the keys of chunks.
pub const CHUNK_PREFIX: &str = "redwingrill/config/chunk/";

/// How many earlier applies a manifest names.
const HISTORY_LIMIT: usize = 256;

/// The identifier of one run of apply, drawn at random.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default, Serialize, Deserialize)]
pub struct ApplyId(pub u64);

/// A chunk that a manifest refers to.
///
/// The key in the store has the generation that first stored the chunk, so that removing a retired
/// chunk never removes one that a later apply stores again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct ChunkRef {
    /// The hash.
    pub hash: ChunkHash,
    /// The generation that first stored it.
    pub since: Generation,
}

impl ChunkRef {
    /// Returns the key in the platform's store.
    pub fn key(&self) -> String {
        format!("{CHUNK_PREFIX}{}-{}", self.since.0, self.hash)
    }
}

/// What an accepted configuration consists of.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Manifest {
    /// The generation.
    pub generation: Generation,
    /// The apply that made it.
    pub apply_id: ApplyId,
    /// The chunks, in the order of their records.
    pub chunks: Vec<ChunkRef>,
    /// The chunks of the generation before that this one has no more.
    pub retired: Vec<ChunkRef>,
    history: Vec<ApplyId>,
}

/// How a manifest stands to another.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ManifestRelation {
    /// The same apply at the same generation.
    Same,
    /// A higher generation.
    Newer,
    /// Accepted before, and replaced since.
    Older,
    /// Accepted on top of an old copy, and so later than the other in spite of its generation.
    Forked,
}

/// The encoding of a manifest; the tag is the version of the format.
#[derive(Serialize, Deserialize)]
enum ManifestWire {
    V1(Manifest),
}

impl Manifest {
    /// Makes the manifest that follows `current`.
    pub fn successor_of(current: Option<&Self>, apply_id: ApplyId, chunks: &[Chunk]) -> Self {
        let empty = Self::default();
        let previous = current.unwrap_or(&empty);
        let generation = Generation(previous.generation.0 + 1);
        let chunks: Vec<ChunkRef> = chunks
            .iter()
            .map(|chunk| {
                previous
                    .find_chunk(chunk.hash)
                    .unwrap_or(ChunkRef { hash: chunk.hash, since: generation })
            })
            .collect();
        Self {
            generation,
            apply_id,
            retired: previous.chunks_not_in(&chunks),
            chunks,
            history: previous.history_with_self(),
        }
    }

    /// Makes a manifest with the content of `forked` that follows this one.
    pub fn rebase(&self, forked: &Self) -> Self {
        Self {
            generation: Generation(self.generation.0 + 1),
            apply_id: forked.apply_id,
            chunks: forked.chunks.clone(),
            retired: self.chunks_not_in(&forked.chunks),
            history: self.history_with_self(),
        }
    }

    /// Returns whether this manifest is of an apply or follows it.
    pub fn includes(&self, apply_id: ApplyId) -> bool {
        self.apply_id == apply_id || self.history.contains(&apply_id)
    }

    /// Returns how `seen` stands to this manifest.
    pub fn relation_of(&self, other: &Self) -> ManifestRelation {
        if other.generation > self.generation {
            return ManifestRelation::Newer;
        }
        if other.apply_id == self.apply_id && other.generation == self.generation {
            return ManifestRelation::Same;
        }
        let oldest_recorded = self.generation.0.saturating_sub(self.history.len() as u64);
        if self.includes(other.apply_id) || other.generation.0 < oldest_recorded {
            return ManifestRelation::Older;
        }
        ManifestRelation::Forked
    }

    /// Returns the value for the store.
    pub fn encode(&self) -> Bytes {
        let wire = ManifestWire::V1(self.clone());
        postcard::to_stdvec(&wire).expect("manifests are serialisable").into()
    }

    /// Reads a value of the store or of a peer.
    pub fn decode(bytes: &[u8]) -> Result<Self, StorageError> {
        match postcard::from_bytes(bytes) {
            Ok(ManifestWire::V1(manifest)) => Ok(manifest),
            Err(error) => Err(StorageError::Malformed { reason: format!("manifest: {error}") }),
        }
    }

    fn chunks_not_in(&self, chunks: &[ChunkRef]) -> Vec<ChunkRef> {
        let kept: HashSet<&ChunkRef> = chunks.iter().collect();
        self.chunks.iter().filter(|chunk| !kept.contains(chunk)).copied().collect()
    }

    fn find_chunk(&self, hash: ChunkHash) -> Option<ChunkRef> {
        self.chunks.iter().find(|chunk| chunk.hash == hash).copied()
    }

    fn history_with_self(&self) -> Vec<ApplyId> {
        if self.generation == Generation::default() {
            return Vec::new();
        }
        let ids = std::iter::once(self.apply_id).chain(self.history.iter().copied());
        ids.take(HISTORY_LIMIT).collect()
    }
}
