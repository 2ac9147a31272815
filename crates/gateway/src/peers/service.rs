//! The tarpc service between nodes, in postcard frames over TCP.

use serde::Deserialize;
use serde::Serialize;

use crate::store_sync::MirrorUpdate;

/// The largest frame: a configuration of the largest size, and room for all else.
const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// How the store stands, as the node that answers sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum StoreStatus {
    /// It answers.
    Available,
    /// It answers again; live upstreams are listed again within this time.
    Returning {
        /// The time in milliseconds.
        remaining_ms: u64,
    },
    /// It does not answer.
    Unavailable,
}

/// News, and how sure they are.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoreUpdateResponse {
    /// How the store stands.
    pub store: StoreStatus,
    /// What changed.
    pub update: MirrorUpdate,
}

/// The calls of one node to another.
#[tarpc::service]
pub(super) trait StoreUpdates {
    /// Returns what changed after a revision, and waits for something up to a time.
    async fn update_after(revision: u64, wait_ms: u64) -> Option<StoreUpdateResponse>;
}

/// Makes the codec of a connection.
pub(super) fn frame_codec() -> tokio_util::codec::LengthDelimitedCodec {
    let mut codec = tokio_util::codec::LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_LIMIT_BYTES);
    codec
}
