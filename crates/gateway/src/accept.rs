//! The accept loop shared by all listeners of a node.

use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The delay after a failed accept, for example when file descriptors run out.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the next connection; returns `None` once `stopping` is cancelled. Errors are logged
/// under the event name `event` and the accept is retried.
pub(crate) async fn accept(
    listener: &TcpListener,
    stopping: &CancellationToken,
    event: &str,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = stopping.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(e) => {
                warn!("event={event} reason={:?}", e.to_string());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
