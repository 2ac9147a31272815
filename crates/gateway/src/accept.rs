//! Accepting connections, for every listener of a node.

use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The pause after a failed accept, such as for lack of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns the next connection; `None` once `stopping`. Failures are logged as `event`.
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
