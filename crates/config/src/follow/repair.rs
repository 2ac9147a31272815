//! Repairs a store that was restored from an old copy.
//!
//! A node writes its configuration in force back to a store that lost it, and gives a configuration
//! that was accepted on top of an old copy a generation high enough for nodes to adopt it. All
//! writes are compare-and-swaps, so any number of nodes can repair concurrently.

use super::ConfigCache;
use super::decision::Decision;
use super::decision::Origin;
use super::decision::decide;
use crate::Chunk;
use crate::ChunkRef;
use crate::Manifest;
use crate::StoredManifest;
use crate::storage::accept_manifest;
use crate::storage::read_manifest;
use crate::storage::store_chunks;
use redwingrill_ports::Store;

/// The number of attempts per call; a failed call is retried by the next repair.
const ATTEMPTS: u32 = 1;

/// Reads the stored manifest and repairs it if this is still needed. Returns the number of store
/// calls made.
pub async fn repair<S: Store>(store: &S, in_force: &Manifest, cache: &ConfigCache) -> u64 {
    let Ok(found) = read_manifest(store).await else { return 1 };
    let observed = found.as_ref().map(|stored| &stored.manifest);
    match decide(Some(in_force), observed, Origin::Store) {
        Decision::Keep | Decision::Adopt => 1,
        Decision::WriteBack => 1 + write_back(store, in_force, found.as_ref(), cache).await,
        Decision::Rebase => 1 + rebase(store, in_force, found.as_ref()).await,
    }
}

async fn write_back<S: Store>(
    store: &S,
    in_force: &Manifest,
    found: Option<&StoredManifest>,
    cache: &ConfigCache,
) -> u64 {
    let missing = missing_chunks(in_force, found, cache);
    let calls = missing.len() as u64 + 1;
    if let Err(error) = store_chunks(store, &missing, ATTEMPTS).await {
        log::info!("event=config_repair_failed reason=\"{error}\"");
        return calls;
    }
    let outcome = accept_manifest(store, StoredManifest::expected(found), in_force, ATTEMPTS).await;
    let generation = in_force.generation.0;
    log::warn!("event=config_written_back generation={generation} outcome={}", outcome.name());
    calls
}

fn missing_chunks(
    in_force: &Manifest,
    found: Option<&StoredManifest>,
    cache: &ConfigCache,
) -> Vec<(ChunkRef, Chunk)> {
    let stored_chunks = found.map(|stored| stored.manifest.chunks.as_slice()).unwrap_or_default();
    let missing = in_force.chunks.iter().filter(|chunk| !stored_chunks.contains(chunk));
    let with_bytes = missing.filter_map(|reference| {
        let bytes = cache.chunk(reference.hash)?;
        Some((*reference, Chunk { hash: reference.hash, bytes }))
    });
    with_bytes.collect()
}

async fn rebase<S: Store>(store: &S, in_force: &Manifest, found: Option<&StoredManifest>) -> u64 {
    let Some(stored) = found else { return 0 };
    let rebased = in_force.rebase(&stored.manifest);
    let outcome = accept_manifest(store, StoredManifest::expected(found), &rebased, ATTEMPTS).await;
    let generation = rebased.generation.0;
    log::warn!("event=config_lifted generation={generation} outcome={}", outcome.name());
    1
}
