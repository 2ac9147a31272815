//! Detection of connections that went silent.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long a connection rests before the kernel probes it, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection.
const PROBE_LIMIT: u32 = 2;

/// How long sent data may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Lets the kernel end a connection whose other end no longer answers.
///
/// # Errors
///
/// The cause if the socket does not take the options.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
