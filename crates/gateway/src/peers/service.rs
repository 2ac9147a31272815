//! The tarpc service between nodes, in postcard frames over TCP.

use crate::news::BoardUpdate;

/// The largest frame: a configuration of the largest size, and room for all else.
pub(super) const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// The calls of one node to another.
#[tarpc::service]
pub(super) trait PeerNews {
    /// Returns what changed after a revision.
    async fn update_after(revision: u64) -> Option<BoardUpdate>;
}

/// Makes the codec of a connection.
pub(super) fn frames() -> tokio_util::codec::LengthDelimitedCodec {
    let mut codec = tokio_util::codec::LengthDelimitedCodec::new();
    codec.set_max_frame_length(FRAME_LIMIT_BYTES);
    codec
}
