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
use super::manifest::ChunkRef;
use super::manifest::MANIFEST_KEY;
use super::manifest::Manifest;
use super::read::StoredManifest;
use super::read::read_manifest;
use super::timeout::with_timeout;
use redwingrill_ports::Expected;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// How often an operator's command tries a call.
pub const COMMAND_ATTEMPTS: u32 = 5;

/// How many chunks are written at the same time.
const WRITE_CONCURRENCY: usize = 8;

/// The pause after the first failed try; it doubles with each further one.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// What became of a manifest.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AcceptOutcome {
    /// It was accepted, and may have been replaced since.
    Accepted,
    /// Another manifest was accepted in its place; it never will be.
    Refused(Option<StoredManifest>),
    /// The store did not say.
    Unknown(StoreError),
    /// It was not sent, or the store did nothing.
    NotSent(StoreError),
}

impl AcceptOutcome {
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
    attempts_limit: u32,
) -> Result<(), StoreError> {
    let mut writes = Vec::with_capacity(chunks.len());
    for (reference, chunk) in chunks {
        writes.push(store_chunk(store, reference, chunk, attempts_limit).boxed());
    }
    stream::iter(writes).buffer_unordered(WRITE_CONCURRENCY).try_collect().await
}

async fn store_chunk<S: Store>(
    store: &S,
    reference: &ChunkRef,
    chunk: &Chunk,
    attempts_limit: u32,
) -> Result<(), StoreError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        // A key holds the same bytes whoever writes it, so finding it there is as good.
        let key = reference.key();
        let write = store.swap(&key, Expected::Absent, chunk.bytes.clone(), None);
        match with_timeout(write).await {
            Ok(_) => return Ok(()),
            Err(error) if attempts == attempts_limit => return Err(error),
            Err(_) => back_off(attempts).await,
        }
    }
}

/// Swaps the manifest and settles lost answers.
pub async fn accept_manifest<S: Store>(
    store: &S,
    expected: Expected,
    manifest: &Manifest,
    attempts_limit: u32,
) -> AcceptOutcome {
    let value = manifest.encode();
    let mut sent = false;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let swap = store.swap(MANIFEST_KEY, expected, value.clone(), None);
        let error = match with_timeout(swap).await {
            Ok(Swap::Done(_)) => return AcceptOutcome::Accepted,
            Ok(Swap::Conflict(entry)) => {
                let found = entry.as_ref().and_then(|entry| StoredManifest::try_from(entry).ok());
                return outcome_of(found, manifest);
            }
            Err(error) => error,
        };
        sent |= error.may_have_taken_effect();
        if sent && let Some(outcome) = resolve_lost_response(store, expected, manifest).await {
            return outcome;
        }
        if attempts == attempts_limit {
            return if sent {
                AcceptOutcome::Unknown(error)
            } else {
                AcceptOutcome::NotSent(error)
            };
        }
        back_off(attempts).await;
    }
}

/// Reads what became of a swap whose answer was lost; none if it is still open.
async fn resolve_lost_response<S: Store>(
    store: &S,
    expected: Expected,
    manifest: &Manifest,
) -> Option<AcceptOutcome> {
    let found = read_manifest(store).await.ok()?;
    let unchanged = match (expected, &found) {
        (Expected::Absent, None) => true,
        (Expected::At(revision), Some(stored)) => stored.revision == revision,
        _ => false,
    };
    if unchanged { None } else { Some(outcome_of(found, manifest)) }
}

fn outcome_of(found: Option<StoredManifest>, manifest: &Manifest) -> AcceptOutcome {
    match found {
        Some(stored) if stored.manifest.includes(manifest.apply_id) => AcceptOutcome::Accepted,
        replacement => AcceptOutcome::Refused(replacement),
    }
}

/// Waits before the next try of a call that failed so often.
pub async fn back_off(attempts: u32) {
    tokio::time::sleep(BACKOFF_BASE * (1 << attempts.min(8))).await;
}

/// Removes chunks that no configuration in force needs any more. Failures leave them behind.
pub async fn remove_chunks<S: Store>(store: &S, chunks: &[ChunkRef]) {
    for chunk in chunks {
        let key = chunk.key();
        let Ok(Some(entry)) = with_timeout(store.get(&key)).await else { continue };
        if with_timeout(store.delete(&key, entry.revision)).await.is_err() {
            return;
        }
    }
}
