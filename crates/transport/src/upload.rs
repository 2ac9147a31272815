//! Whether a request was written to its connection.
//!
//! A server that ends the connection of its answer while the request is still being written may end
//! it in order first and reset it then, so the end in order says nothing until the request is written.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

/// How the writing of a request's body goes.
#[derive(Clone, Debug, Default)]
pub(crate) struct UploadState {
    is_written: Arc<AtomicBool>,
    // Cancelled once the body is written or given up.
    ended: CancellationToken,
}

impl UploadState {
    /// Returns a body and the state of its writing over a connection, which has ended if
    /// `has_ended` is set.
    pub(crate) fn track(body: Bytes, has_ended: Arc<AtomicBool>) -> (Bytes, Self) {
        let state = Self::default();
        // The connection drops the body once its last byte is written, or as it ends.
        let tracked = TrackedBody { data: body, has_ended, state: state.clone() };
        match tracked.data.is_empty() {
            true => (Bytes::new(), state),
            false => (Bytes::from_owner(tracked), state),
        }
    }

    /// Waits until the body is written or given up, and returns whether it is written.
    pub(crate) async fn wait_written(&self) -> bool {
        self.ended.cancelled().await;
        self.is_written.load(Ordering::Acquire)
    }
}

struct TrackedBody {
    data: Bytes,
    has_ended: Arc<AtomicBool>,
    state: UploadState,
}

impl AsRef<[u8]> for TrackedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let is_written = !self.has_ended.load(Ordering::Acquire);
        self.state.is_written.store(is_written, Ordering::Release);
        self.state.ended.cancel();
    }
}
