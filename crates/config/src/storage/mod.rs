//! The layout of an accepted configuration in the platform's store.
//!
//! The desired state is split into content-addressed chunks. One manifest refers to them and is
//! replaced by compare-and-swap with the next higher generation. With a manifest, chunks can be
//! fetched from any source and verified by their hashes.

mod accept;
mod apply;
mod assemble;
mod chunk;
mod difference;
mod manifest;
mod read;
mod record;
mod timeout;

pub(crate) use accept::accept_manifest;
pub(crate) use accept::store_chunks;
pub use apply::Applied;
pub use apply::ApplyError;
pub use apply::ApplyRequest;
pub use apply::apply;
pub use assemble::Assembler;
pub use assemble::from_chunks;
pub use assemble::to_chunks;
pub use chunk::Chunk;
pub use chunk::ChunkHash;
pub use difference::Difference;
pub use difference::DifferenceKind;
pub use manifest::ApplyId;
pub use manifest::CHUNK_PREFIX;
pub use manifest::ChunkRef;
pub use manifest::MANIFEST_KEY;
pub use manifest::Manifest;
pub use manifest::ManifestRelation;
pub use read::StoredManifest;
pub use read::read_chunk;
pub use read::read_manifest;
pub use read::read_state;
pub(crate) use timeout::CALL_TIMEOUT;
pub(crate) use timeout::with_timeout;

use snafu::Snafu;

use redwingrill_ports::StoreError;

/// An error while reading a stored configuration.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StorageError {
    /// A call to the store failed.
    #[snafu(display("{source}"))]
    Store {
        /// The failure.
        source: StoreError,
    },
    /// A value does not have the format of this version of the program.
    #[snafu(display("stored configuration malformed: {reason}"))]
    Malformed {
        /// What is malformed, for logs.
        reason: String,
    },
    /// A chunk that the manifest refers to is missing, or its hash does not match.
    #[snafu(display("chunk {hash} missing or altered"))]
    ChunkMissing {
        /// The chunk.
        hash: ChunkHash,
    },
}

impl From<StoreError> for StorageError {
    fn from(source: StoreError) -> Self {
        Self::Store { source }
    }
}
