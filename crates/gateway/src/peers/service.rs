//! The tarpc service between nodes: postcard messages in length-delimited frames over TCP.

use serde::Deserialize;
use serde::Serialize;

use crate::store_sync::MirrorUpdate;

/// The frame size limit: leaves room for the largest configuration and all other items.
const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// The status of the store as seen by the responding node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum StoreStatus {
    /// The store is available.
    Available,
    /// The store is available again; live upstreams register again within this time.
    Returning {
        /// The remaining time in milliseconds.
        remaining_ms: u64,
    },
    /// The store is unavailable.
    Unavailable,
}

/// The response to a request for store updates.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoreUpdateResponse {
    /// The status of the store.
    pub store: StoreStatus,
    /// The changes.
    pub update: MirrorUpdate,
}

/// The calls between nodes.
#[tarpc::service]
pub(super) trait StoreUpdates {
    /// The call of builds whose revisions have no era. It is answered with nothing, as they would
    /// take a revision with an era for one that the store has not reached.
    async fn update_after(revision: u64, wait_ms: u64) -> Option<StoreUpdateResponse>;

    /// The call of builds whose updates do not tell how they list removals. It is answered with
    /// nothing, as they would take any update for one that lists all.
    async fn changes_after(revision: u64, wait_ms: u64) -> Option<StoreUpdateResponse>;

    /// Returns the changes after a revision, and waits up to `wait_ms` for one.
    async fn updates_since(revision: u64, wait_ms: u64) -> Option<StoreUpdateResponse>;
}

/// Returns the frame codec of a connection.
pub(super) fn frame_codec() -> tokio_util::codec::LengthDelimitedCodec {
    let mut codec = tokio_util::codec::LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_LIMIT_BYTES);
    codec
}
