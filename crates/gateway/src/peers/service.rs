//! The tarpc service between nodes, in postcard frames over TCP.

use serde::Deserialize;
use serde::Serialize;

use crate::news::BoardUpdate;

/// The largest frame: a configuration of the largest size, and room for all else.
const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// How the store stands, as the node that answers sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum StoreView {
    /// It answers.
    Heard,
    /// It answers again; live upstreams are listed again within this time.
    Returning {
        /// The time in milliseconds.
        left_ms: u64,
    },
    /// It does not answer.
    Away,
}

/// News, and how sure they are.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct NewsAnswer {
    /// How the store stands.
    pub store: StoreView,
    /// What changed.
    pub update: BoardUpdate,
}

/// The calls of one node to another.
#[tarpc::service]
pub(super) trait PeerNews {
    /// Returns what changed after a revision, and waits for something up to a time.
    async fn update_after(revision: u64, wait_ms: u64) -> Option<NewsAnswer>;
}

/// Makes the codec of a connection.
pub(super) fn frames() -> tokio_util::codec::LengthDelimitedCodec {
    let mut codec = tokio_util::codec::LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_LIMIT_BYTES);
    codec
}
