//! Detection of dead peers by the kernel.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// The idle time after which the kernel sends keep-alive probes, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unacknowledged probes after which the kernel closes the connection.
const PROBE_LIMIT: u32 = 2;

/// The time that sent data may stay unacknowledged before the kernel closes the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Lets the kernel close a connection whose peer no longer acknowledges packets.
///
/// # Errors
///
/// Returns the error of the operating system if an option cannot be set.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
