//! Reads the configuration from the platform's store.

use bytes::Bytes;
use futures::future::FutureExt;
use futures::stream;
use futures::stream::StreamExt;
use futures::stream::TryStreamExt;

use super::StorageError;
use super::accept::COMMAND_ATTEMPTS;
use super::accept::back_off;
use super::assemble::from_chunks;
use super::chunk::ChunkHash;
use super::manifest::ChunkRef;
use super::manifest::MANIFEST_KEY;
use super::manifest::Manifest;
use super::timeout::with_timeout;
use crate::DesiredState;
use redwingrill_entity::Names;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;

/// The number of chunks that a command reads concurrently.
const READ_CONCURRENCY: usize = 8;

/// A manifest with its revision in the store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StoredManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// The revision that a compare-and-swap must expect.
    pub revision: Revision,
}

impl StoredManifest {
    /// Returns the expectation of a compare-and-swap that replaces `found`.
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
    let entry = with_timeout(store.get(MANIFEST_KEY)).await?;
    entry.as_ref().map(StoredManifest::try_from).transpose()
}

/// Reads a chunk and verifies its hash.
pub async fn read_chunk<S: Store>(store: &S, chunk: &ChunkRef) -> Result<Bytes, StorageError> {
    let entry = with_timeout(store.get(&chunk.key())).await?;
    let bytes = entry.map(|entry| entry.value);
    bytes
        .filter(|bytes| ChunkHash::of(bytes) == chunk.hash)
        .ok_or(StorageError::ChunkMissing { hash: chunk.hash })
}

/// Reads chunks concurrently and with retries, as a command does. Returns them in order.
pub async fn read_chunks<S: Store>(
    store: &S,
    chunks: &[ChunkRef],
) -> Result<Vec<Bytes>, StorageError> {
    let mut reads = Vec::with_capacity(chunks.len());
    for chunk in chunks {
        reads.push(read_chunk_with_retry(store, chunk).boxed());
    }
    stream::iter(reads).buffered(READ_CONCURRENCY).try_collect().await
}

/// Reads a chunk as [`read_chunk`] does, and retries if the store fails.
pub async fn read_chunk_with_retry<S: Store>(
    store: &S,
    chunk: &ChunkRef,
) -> Result<Bytes, StorageError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match read_chunk(store, chunk).await {
            Err(StorageError::Store { .. }) if attempts < COMMAND_ATTEMPTS => {
                back_off(attempts).await
            }
            result => return result,
        }
    }
}

/// Reads the manifest as [`read_manifest`] does, and retries if the store limits the rate.
pub async fn read_manifest_with_retry<S: Store>(
    store: &S,
) -> Result<Option<StoredManifest>, StorageError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match read_manifest(store).await {
            Err(StorageError::Store { source: StoreError::RateLimited })
                if attempts < COMMAND_ATTEMPTS =>
            {
                back_off(attempts).await;
            }
            result => return result,
        }
    }
}

/// Reads the whole accepted configuration, if there is one.
pub async fn read_state<S: Store>(
    store: &S,
    names: &mut Names,
) -> Result<Option<(Manifest, DesiredState)>, StorageError> {
    let Some(stored) = read_manifest_with_retry(store).await? else { return Ok(None) };
    let chunks = read_chunks(store, &stored.manifest.chunks).await?;
    let state = from_chunks(&chunks, names)?;
    Ok(Some((stored.manifest, state)))
}
