//! Reading from the platform's store.

use bytes::Bytes;

use super::StorageError;
use super::assemble::from_chunks;
use super::chunk::ChunkHash;
use super::deadline::bounded;
use super::manifest::ChunkRef;
use super::manifest::MANIFEST_KEY;
use super::manifest::Manifest;
use crate::DesiredState;
use redwingrill_entity::Names;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;

/// A manifest as the store holds it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StoredManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// The revision that a swap must expect.
    pub revision: Revision,
}

impl StoredManifest {
    /// Returns what a swap must expect to replace `found`.
    pub fn expected(found: Option<&Self>) -> Expected {
        found.map_or(Expected::Absent, |stored| Expected::At(stored.revision))
    }
}

impl TryFrom<&Entry> for StoredManifest {
    type Error = StorageError;

    fn try_from(entry: &Entry) -> Result<Self, StorageError> {
        Ok(Self { manifest: Manifest::decode(&entry.value)?, revision: entry.revision })
    }
}

/// Reads the manifest, if there is one.
pub async fn read_manifest<S: Store>(store: &S) -> Result<Option<StoredManifest>, StorageError> {
    let entry = bounded(store.get(MANIFEST_KEY)).await?;
    entry.as_ref().map(StoredManifest::try_from).transpose()
}

/// Reads a chunk and verifies its hash.
pub async fn read_chunk<S: Store>(store: &S, chunk: &ChunkRef) -> Result<Bytes, StorageError> {
    let entry = bounded(store.get(&chunk.key())).await?;
    let bytes = entry.map(|entry| entry.value);
    bytes
        .filter(|bytes| ChunkHash::of(bytes) == chunk.hash)
        .ok_or(StorageError::ChunkMissing { hash: chunk.hash })
}

/// Reads the whole accepted configuration, if there is one.
pub async fn read_state<S: Store>(
    store: &S,
    names: &mut Names,
) -> Result<Option<(Manifest, DesiredState)>, StorageError> {
    let Some(stored) = read_manifest(store).await? else { return Ok(None) };
    let mut chunks = Vec::with_capacity(stored.manifest.chunks.len());
    for chunk in &stored.manifest.chunks {
        chunks.push(read_chunk(store, chunk).await?);
    }
    let state = from_chunks(&chunks, names)?;
    Ok(Some((stored.manifest, state)))
}
