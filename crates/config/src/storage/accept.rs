//! The writes that make a configuration the accepted one.
//!
//! Chunks are written first and may be written any number of times. The compare-and-swap of the
//! manifest is the step that accepts the configuration. If its response is lost, the manifest is
//! read back. If the apply's identifier is in it or in its history, the swap took effect. If the
//! expected revision is unchanged, the swap did not take effect yet, and it is sent again.
//! Otherwise the swap can never succeed.

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

/// The number of attempts per call of an operator's command.
pub const COMMAND_ATTEMPTS: u32 = 5;

/// The number of chunks that are written concurrently.
const WRITE_CONCURRENCY: usize = 8;

/// The base of the exponential backoff; the delay doubles with each failed attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// The outcome of writing a manifest.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AcceptOutcome {
    /// It was accepted, and may have been replaced since.
    Accepted,
    /// Another manifest was accepted instead; this one can no longer be accepted.
    Refused(Option<StoredManifest>),
    /// The outcome is unknown, since responses of the store were lost.
    Unknown(StoreError),
    /// The write was not sent, or it had no effect.
    NotSent(StoreError),
}

impl AcceptOutcome {
    /// Returns the name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
            Self::NotSent(_) => "not_sent",
        }
    }
}

/// Writes chunks under their keys, with up to `attempts_limit` attempts each.
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
        // Every writer stores the same bytes under a key, so a conflict means success.
        let key = reference.key();
        let write = store.swap(&key, Expected::Absent, chunk.bytes.clone(), None);
        match with_timeout(write).await {
            Ok(_) => return Ok(()),
            Err(error) if attempts == attempts_limit => return Err(error),
            Err(_) => back_off(attempts).await,
        }
    }
}

/// Replaces the manifest by compare-and-swap, and resolves lost responses by reading it back.
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

/// Determines the outcome of a swap whose response was lost; none if it is still undetermined.
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

/// Waits before the next attempt of a call that failed `attempts` times.
pub async fn back_off(attempts: u32) {
    tokio::time::sleep(BACKOFF_BASE * (1 << attempts.min(8))).await;
}

/// Removes chunks that no configuration in force refers to. On failure, chunks are left behind.
pub async fn remove_chunks<S: Store>(store: &S, chunks: &[ChunkRef]) {
    for chunk in chunks {
        let key = chunk.key();
        let Ok(Some(entry)) = with_timeout(store.get(&key)).await else { continue };
        if with_timeout(store.delete(&key, entry.revision)).await.is_err() {
            return;
        }
    }
}
