//! The manifest: the value whose compare-and-swap accepts a configuration.
//!
//! Invariants: the generation is one higher than that of the replaced manifest; the history lists
//! the previously accepted applies, latest first. The history distinguishes an old copy of the
//! store from an apply that was accepted on top of an old copy.

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

/// The maximum number of earlier applies that a manifest lists.
const HISTORY_LIMIT: usize = 256;

/// The random identifier of an apply.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default, Serialize, Deserialize)]
pub struct ApplyId(pub u64);

/// A chunk that a manifest refers to.
///
/// The key in the store contains the generation that first stored the chunk, so that removing a
/// retired chunk never removes one that a later apply stores again.
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

/// The content of an accepted configuration.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Manifest {
    /// The generation.
    pub generation: Generation,
    /// The apply that wrote it.
    pub apply_id: ApplyId,
    /// The chunks, in the order of their records.
    pub chunks: Vec<ChunkRef>,
    /// The chunks of the previous generation that this one no longer contains.
    pub retired: Vec<ChunkRef>,
    history: Vec<ApplyId>,
}

/// How a manifest relates to another one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ManifestRelation {
    /// The same apply at the same generation.
    Same,
    /// A higher generation.
    Newer,
    /// Accepted earlier and since replaced.
    Older,
    /// Accepted on top of an old copy of the store, and so later than the other one although its
    /// generation is not higher.
    Forked,
}

/// The encoding of a manifest; the variant is the format version.
#[derive(Serialize, Deserialize)]
enum ManifestWire {
    V1(Manifest),
}

impl Manifest {
    /// Creates the manifest that replaces `current`.
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

    /// Creates a manifest with the content of `forked` that succeeds this one.
    pub fn rebase(&self, forked: &Self) -> Self {
        Self {
            generation: Generation(self.generation.0 + 1),
            apply_id: forked.apply_id,
            chunks: forked.chunks.clone(),
            retired: self.chunks_not_in(&forked.chunks),
            history: self.history_with_self(),
        }
    }

    /// Returns whether this manifest was written by an apply or is a successor of one that was.
    pub fn includes(&self, apply_id: ApplyId) -> bool {
        self.apply_id == apply_id || self.history.contains(&apply_id)
    }

    /// Returns how `other` relates to this manifest.
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

    /// Encodes the manifest as a value for the store.
    pub fn encode(&self) -> Bytes {
        let wire = ManifestWire::V1(self.clone());
        postcard::to_stdvec(&wire).expect("manifests are serializable").into()
    }

    /// Decodes a value from the store or from a peer.
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
