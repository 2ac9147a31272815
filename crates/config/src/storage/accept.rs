//! The writes that make a configuration the accepted one.
//!
//! Chunks go first and may be written any number of times. The swap of the manifest is the one step
//! that accepts. When its answer is lost, the manifest is read back: the apply's identifier in it or
//! in its history says that the swap took effect; the expected revision still there says that it did
//! not, and the same swap is sent again; anything else says that it never can.

use std::time::Duration;

use futures::future::FutureExt;
use futures::stream;
use futures::stream::StreamExt;
use futures::stream::TryStreamExt;

use super::chunk::Chunk;
use super::deadline::bounded;
use super::manifest::ChunkRef;
use super::manifest::MANIFEST_KEY;
use super::manifest::Manifest;
use super::read::StoredManifest;
use super::read::read_manifest;
use redwingrill_ports::Expected;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// How often an operator's command tries a call.
pub const COMMAND_TRIES: u32 = 5;

/// How many chunks are written at the same time.
const WRITES_AT_ONCE: usize = 8;

/// The pause after the first failed try; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// What became of a manifest.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Acceptance {
    /// It was accepted, and may have been replaced since.
    Accepted,
    /// Another manifest was accepted in its place; it never will be.
    Refused(Option<StoredManifest>),
    /// The store did not say.
    Unknown(StoreError),
    /// It was not sent, or the store did nothing.
    NotSent(StoreError),
}

impl Acceptance {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
            Self::NotSent(_) => "not_sent",
        }
    }
}

/// Stores chunks under their keys.
pub async fn store_chunks<S: Store>(
    store: &S,
    chunks: &[(ChunkRef, Chunk)],
    tries_limit: u32,
) -> Result<(), StoreError> {
    let mut writes = Vec::with_capacity(chunks.len());
    for (reference, chunk) in chunks {
        writes.push(store_chunk(store, reference, chunk, tries_limit).boxed());
    }
    stream::iter(writes).buffer_unordered(WRITES_AT_ONCE).try_collect().await
}

async fn store_chunk<S: Store>(
    store: &S,
    reference: &ChunkRef,
    chunk: &Chunk,
    tries_limit: u32,
) -> Result<(), StoreError> {
    let mut tries = 0;
    loop {
        tries += 1;
        // A key holds the same bytes whoever writes it, so finding it there is as good.
        let key = reference.key();
        let write = store.swap(&key, Expected::Absent, chunk.bytes.clone(), None);
        match bounded(write).await {
            Ok(_) => return Ok(()),
            Err(error) if tries == tries_limit => return Err(error),
            Err(_) => pause(tries).await,
        }
    }
}

/// Swaps the manifest and settles lost answers.
pub async fn accept_manifest<S: Store>(
    store: &S,
    expected: Expected,
    manifest: &Manifest,
    tries_limit: u32,
) -> Acceptance {
    let value = manifest.encode();
    let mut sent = false;
    let mut tries = 0;
    loop {
        tries += 1;
        let swap = store.swap(MANIFEST_KEY, expected, value.clone(), None);
        let error = match bounded(swap).await {
            Ok(Swap::Done(_)) => return Acceptance::Accepted,
            Ok(Swap::Conflict(entry)) => {
                let found = entry.as_ref().and_then(|entry| StoredManifest::try_from(entry).ok());
                return settle(found, manifest);
            }
            Err(error) => error,
        };
        sent |= error.may_have_taken_effect();
        if sent && let Some(settled) = read_back(store, expected, manifest).await {
            return settled;
        }
        if tries == tries_limit {
            return if sent { Acceptance::Unknown(error) } else { Acceptance::NotSent(error) };
        }
        pause(tries).await;
    }
}

/// Reads what became of a swap whose answer was lost; none if it is still open.
async fn read_back<S: Store>(
    store: &S,
    expected: Expected,
    manifest: &Manifest,
) -> Option<Acceptance> {
    let found = read_manifest(store).await.ok()?;
    let unchanged = match (expected, &found) {
        (Expected::Absent, None) => true,
        (Expected::At(revision), Some(stored)) => stored.revision == revision,
        _ => false,
    };
    if unchanged { None } else { Some(settle(found, manifest)) }
}

fn settle(found: Option<StoredManifest>, manifest: &Manifest) -> Acceptance {
    match found {
        Some(stored) if stored.manifest.includes(manifest.apply_id) => Acceptance::Accepted,
        other => Acceptance::Refused(other),
    }
}

/// Waits before the next try of a call that failed so often.
pub async fn pause(tries: u32) {
    tokio::time::sleep(FIRST_PAUSE * (1 << tries.min(8))).await;
}

/// Removes chunks that no configuration in force needs any more. Failures leave them behind.
pub async fn remove_chunks<S: Store>(store: &S, chunks: &[ChunkRef]) {
    for chunk in chunks {
        let key = chunk.key();
        let Ok(Some(entry)) = bounded(store.get(&key)).await else { continue };
        if bounded(store.delete(&key, entry.revision)).await.is_err() {
            return;
        }
    }
}
