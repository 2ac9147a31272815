//! How an accepted configuration lies in the platform's store.
//!
//! The desired state is cut into content-addressed chunks; one manifest refers to them and is
//! swapped by compare-and-swap with a generation one higher. Whoever holds a manifest can take the
//! chunks from anywhere and verify them by their hashes.

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

/// Why a stored configuration could not be read.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StorageError {
    /// The store failed.
    #[snafu(display("{source}"))]
    Store {
        /// How.
        source: StoreError,
    },
    /// A value is not what this version of the program writes.
    #[snafu(display("stored configuration malformed: {reason}"))]
    Malformed {
        /// What is wrong, for logs.
        reason: String,
    },
    /// A chunk that the manifest refers to is missing or altered.
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
