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

/// The same while a peer may read slowly. The kernel also counts the time in which a peer has no room
/// for more data, although it answers: with 2.5 s, callers that paused for 4 s lost their streams.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Sets whether the peer may read nothing for some seconds, on a connection with
/// [`enable_dead_peer_detection`]. A dead peer is then detected later too.
///
/// # Errors
///
/// Returns the error of the operating system if the option cannot be set.
pub fn allow_slow_reader(stream: &TcpStream, is_allowed: bool) -> io::Result<()> {
    let timeout = if is_allowed { SLOW_READER_TIMEOUT } else { UNACKNOWLEDGED_TIMEOUT };
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}
