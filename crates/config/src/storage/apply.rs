//! Applies a desired state as the accepted configuration.

use snafu::Snafu;

use super::StorageError;
use super::accept::AcceptOutcome;
use super::accept::COMMAND_ATTEMPTS;
use super::accept::accept_manifest;
use super::accept::remove_chunks;
use super::accept::store_chunks;
use super::assemble::to_chunks;
use super::chunk;
use super::chunk::Chunk;
use super::difference::Difference;
use super::difference::differences;
use super::manifest::ApplyId;
use super::manifest::ChunkRef;
use super::manifest::Manifest;
use super::read::StoredManifest;
use super::read::read_chunk_with_retry;
use super::read::read_chunks;
use super::read::read_manifest_with_retry;
use super::record::Record;
use crate::DesiredState;
use crate::Generation;
use redwingrill_codes::ResultCode;
use redwingrill_entity::Names;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;

/// The maximum size of a manifest; the store limits values to one megabyte.
const MANIFEST_LIMIT_BYTES: usize = 900_000;

/// The parameters of an apply.
#[derive(Clone, Copy, Debug)]
pub struct ApplyRequest<'a> {
    /// The desired state.
    pub state: &'a DesiredState,
    /// The names of the identifiers in the state.
    pub names: &'a Names,
    /// A random identifier of this apply.
    pub apply_id: ApplyId,
    /// The accepted generation that the operator expects to replace, if given.
    pub expected: Option<Generation>,
    /// The highest generation that any node is known to have in force.
    pub in_force: Generation,
}

/// An accepted configuration.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Applied {
    /// The generation.
    pub generation: Generation,
    /// The changes; empty if the same configuration was already accepted.
    pub differences: Vec<Difference>,
    /// The number of chunks that were written.
    pub chunks_written: usize,
}

/// An error while applying a configuration.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ApplyError {
    /// Another configuration was accepted first.
    #[snafu(display("generation {} was accepted first", found.0))]
    Conflict {
        /// The currently accepted generation.
        found: Generation,
        /// Its changes relative to the configuration that this apply started from.
        differences: Vec<Difference>,
    },
    /// The store contains an older configuration than nodes have in force.
    #[snafu(display(
        "the store holds generation {}, and nodes have {} in force: an old copy was restored",
        stored.0, in_force.0
    ))]
    StaleStore {
        /// The generation in the store.
        stored: Generation,
        /// The generation in force.
        in_force: Generation,
    },
    /// The manifest would be too large for the store.
    #[snafu(display("the configuration needs a manifest of {size_bytes} bytes"))]
    TooLarge {
        /// The size of the manifest in bytes.
        size_bytes: usize,
    },
    /// It is unknown whether the configuration was accepted, since responses of the store were
    /// lost.
    #[snafu(display("the store did not say whether the configuration was accepted: {source}"))]
    OutcomeUnknown {
        /// The last failure.
        source: StoreError,
    },
    /// Reading or writing failed before the configuration was accepted.
    #[snafu(display("{source}"))]
    Storage {
        /// The failure.
        source: StorageError,
    },
}

impl ApplyError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Conflict { .. } | Self::StaleStore { .. } => ResultCode::ConfigConflict,
            Self::TooLarge { .. } => ResultCode::ConfigInvalid,
            Self::OutcomeUnknown { .. } => ResultCode::ConfigOutcomeUnknown,
            Self::Storage { .. } => ResultCode::StoreUnavailable,
        }
    }
}

impl<E: Into<StorageError>> From<E> for ApplyError {
    fn from(error: E) -> Self {
        Self::Storage { source: error.into() }
    }
}

/// Applies a desired state atomically.
///
/// # Errors
///
/// See [`ApplyError`].
pub async fn apply<S: Store>(store: &S, request: ApplyRequest<'_>) -> Result<Applied, ApplyError> {
    let current = read_manifest_with_retry(store).await?;
    let base = current.as_ref().map(|stored| &stored.manifest);
    check_base(base, &request)?;
    let chunks = to_chunks(request.state, request.names);
    let next = Manifest::successor_of(base, request.apply_id, &chunks);
    if let Some(base) = base.filter(|base| base.chunks == next.chunks) {
        let generation = base.generation;
        return Ok(Applied { generation, differences: Vec::new(), chunks_written: 0 });
    }
    check_size(&next)?;
    let new = new_chunks(&next, &chunks);
    let differences = match compare_chunks(store, &next, &new).await {
        // A missing or malformed chunk must not prevent the operator from replacing it.
        Err(StorageError::ChunkMissing { .. } | StorageError::Malformed { .. }) => Vec::new(),
        result => result?,
    };
    store_chunks(store, &new, COMMAND_ATTEMPTS).await?;
    let expected = StoredManifest::expected(current.as_ref());
    match accept_manifest(store, expected, &next, COMMAND_ATTEMPTS).await {
        AcceptOutcome::Accepted => {}
        AcceptOutcome::Refused(found) => return Err(conflict_error(store, base, found).await),
        AcceptOutcome::Unknown(source) => return Err(ApplyError::OutcomeUnknown { source }),
        AcceptOutcome::NotSent(error) => return Err(error.into()),
    }
    restore_missing_chunks(store, &new).await?;
    if let Some(base) = base {
        // Nodes may still be fetching the previous generation, so its chunks stay. The chunks that
        // the previous generation retired are no longer used.
        let unreferenced = base.retired.iter().filter(|chunk| !next.chunks.contains(chunk));
        remove_chunks(store, &unreferenced.copied().collect::<Vec<_>>()).await;
    }
    Ok(Applied { generation: next.generation, differences, chunks_written: new.len() })
}

fn check_base(base: Option<&Manifest>, request: &ApplyRequest<'_>) -> Result<(), ApplyError> {
    let stored = base.map_or(Generation::default(), |manifest| manifest.generation);
    if stored < request.in_force {
        return Err(ApplyError::StaleStore { stored, in_force: request.in_force });
    }
    match request.expected {
        Some(expected) if expected != stored => {
            Err(ApplyError::Conflict { found: stored, differences: Vec::new() })
        }
        _ => Ok(()),
    }
}

fn check_size(manifest: &Manifest) -> Result<(), ApplyError> {
    let size_bytes = manifest.encode().len();
    if size_bytes > MANIFEST_LIMIT_BYTES {
        return Err(ApplyError::TooLarge { size_bytes });
    }
    Ok(())
}

/// Writes missing chunks of an accepted manifest again: the store may have been restored from an
/// old copy between the writes of the chunks and the swap.
async fn restore_missing_chunks<S: Store>(
    store: &S,
    new: &[(ChunkRef, Chunk)],
) -> Result<(), ApplyError> {
    for (reference, chunk) in new {
        match read_chunk_with_retry(store, reference).await {
            Ok(_) => {}
            Err(StorageError::ChunkMissing { .. }) => {
                let missing = [(*reference, chunk.clone())];
                let stored = store_chunks(store, &missing, COMMAND_ATTEMPTS).await;
                stored.map_err(|source| ApplyError::OutcomeUnknown { source })?;
            }
            // The chunks were written; a failed read does not mean that they are missing.
            Err(_) => return Ok(()),
        }
    }
    Ok(())
}

/// Returns the chunks that the manifest's generation stores first.
fn new_chunks(manifest: &Manifest, chunks: &[Chunk]) -> Vec<(ChunkRef, Chunk)> {
    let pairs = manifest.chunks.iter().zip(chunks);
    let new = pairs.filter(|(reference, _)| reference.since == manifest.generation);
    new.map(|(reference, chunk)| (*reference, chunk.clone())).collect()
}

/// Compares the new chunks of a manifest with the chunks that it retires.
async fn compare_chunks<S: Store>(
    store: &S,
    next: &Manifest,
    new: &[(ChunkRef, Chunk)],
) -> Result<Vec<Difference>, StorageError> {
    let old = read_records(store, &next.retired).await?;
    let mut new_records = Vec::new();
    for (_, chunk) in new {
        new_records.extend(chunk::decode(&chunk.bytes)?);
    }
    Ok(differences(&old, &new_records))
}

async fn read_records<S: Store>(
    store: &S,
    chunks: &[ChunkRef],
) -> Result<Vec<Record>, StorageError> {
    let mut records = Vec::new();
    for bytes in read_chunks(store, chunks).await? {
        records.extend(chunk::decode(&bytes)?);
    }
    Ok(records)
}

async fn conflict_error<S: Store>(
    store: &S,
    base: Option<&Manifest>,
    found: Option<StoredManifest>,
) -> ApplyError {
    let found = found.map(|stored| stored.manifest).unwrap_or_default();
    let base = base.cloned().unwrap_or_default();
    let chunks_only_in = |a: &Manifest, b: &Manifest| -> Vec<ChunkRef> {
        a.chunks.iter().filter(|chunk| !b.chunks.contains(chunk)).copied().collect()
    };
    // The differences are optional details: if they cannot be read, the conflict is still reported.
    let old = read_records(store, &chunks_only_in(&base, &found)).await;
    let new = read_records(store, &chunks_only_in(&found, &base)).await;
    let differences = match (old, new) {
        (Ok(old), Ok(new)) => differences(&old, &new),
        _ => Vec::new(),
    };
    ApplyError::Conflict { found: found.generation, differences }
}
