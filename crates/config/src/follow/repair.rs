//! Mending a store that went back to an old copy.
//!
//! A node that has a configuration in force which the store lost writes it back, and gives a
//! configuration that was accepted on top of an old copy a generation that nodes will adopt. All
//! writes are compare-and-swaps, so any number of nodes may do it at once.

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

/// How often a call is tried; the next repair tries again.
const TRIES: u32 = 1;

/// Reads the manifest and repairs it if it still needs that. Returns the calls made.
pub async fn repair<S: Store>(store: &S, own: &Manifest, cache: &ConfigCache) -> u64 {
    let Ok(found) = read_manifest(store).await else { return 1 };
    let seen = found.as_ref().map(|stored| &stored.manifest);
    match decide(Some(own), seen, Origin::Store) {
        Decision::Keep | Decision::Adopt => 1,
        Decision::WriteBack => 1 + write_back(store, own, found.as_ref(), cache).await,
        Decision::Rebase => 1 + rebase(store, own, found.as_ref()).await,
    }
}

async fn write_back<S: Store>(
    store: &S,
    own: &Manifest,
    found: Option<&StoredManifest>,
    cache: &ConfigCache,
) -> u64 {
    let lost = lost_chunks(own, found, cache);
    let calls = lost.len() as u64 + 1;
    if let Err(error) = store_chunks(store, &lost, TRIES).await {
        log::info!("event=config_repair_failed reason=\"{error}\"");
        return calls;
    }
    let outcome = accept_manifest(store, StoredManifest::expected(found), own, TRIES).await;
    let generation = own.generation.0;
    log::warn!("event=config_written_back generation={generation} outcome={}", outcome.name());
    calls
}

fn lost_chunks(
    own: &Manifest,
    found: Option<&StoredManifest>,
    cache: &ConfigCache,
) -> Vec<(ChunkRef, Chunk)> {
    let held = found.map(|stored| stored.manifest.chunks.as_slice()).unwrap_or_default();
    let lost = own.chunks.iter().filter(|chunk| !held.contains(chunk));
    let with_bytes = lost.filter_map(|reference| {
        let bytes = cache.chunk(reference.hash)?;
        Some((*reference, Chunk { hash: reference.hash, bytes }))
    });
    with_bytes.collect()
}

async fn rebase<S: Store>(store: &S, own: &Manifest, found: Option<&StoredManifest>) -> u64 {
    let Some(stored) = found else { return 0 };
    let lifted = own.rebase(&stored.manifest);
    let outcome = accept_manifest(store, StoredManifest::expected(found), &lifted, TRIES).await;
    let generation = lifted.generation.0;
    log::warn!("event=config_lifted generation={generation} outcome={}", outcome.name());
    1
}
