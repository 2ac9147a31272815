//! A connection pool by address.
//!
//! ```text
//! opened -> Connection<Busy> --end of response--> Connection<Idle> --request--> Connection<Busy>
//!                 |                                     |
//!                 +------ fault, or dropped early ------+---- too old, or discarded --> closed
//! ```
//!
//! Invariant: an idle connection is in the list of its address only, and a busy connection is in no
//! list.

use std::collections::HashMap;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body::Body;
use http_body_util::Full;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::ByteBudget;
use crate::ConnectionUse;
use crate::Framing;
use crate::RequestConnections;
use crate::ResponseBody;
use crate::TransportError;
use crate::dead_peer::enable_dead_peer_detection;
use crate::kept_socket::SocketKeeper;
use crate::request_connections::ConnectionNumber;
use crate::upload::UploadState;

/// The limit of idle connections to an address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// A connection that was idle for longer than this is closed instead of reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(30);

/// How long before the server's idle timeout a connection is closed, so that a request arrives
/// before the server closes the connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// What a connection reads ahead at most: the size limit of a response head, and of a piece of a body.
const READ_LIMIT_BYTES: usize = 16 << 10;

/// The timeouts of the steps of a request.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From sending the request to receiving the response head.
    pub head: Duration,
}

/// Whether a request may use an idle connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Freshness {
    /// Uses an idle connection if there is one.
    Any,
    /// Opens a new connection.
    New,
}

/// The state of the connections to one address, for state dumps.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// The address.
    pub address: SocketAddr,
    /// The number of idle connections.
    pub idle: usize,
    /// The number of response timeouts that discarded connections, since the start.
    pub discarded: u64,
}

/// A pool of connections to any number of addresses. Clones share the connections.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    shared: Arc<Shared>,
    budget: ByteBudget,
}

#[derive(Debug, Default)]
struct Shared {
    by_address: Mutex<HashMap<SocketAddr, Connections>>,
    drivers: TaskTracker,
    closing: CancellationToken,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection<Idle>>,
    discarded: u64,
    // Connections opened at or before this time are not reused.
    reusable_after: Option<Instant>,
    // The idle timeout of the server, from its last `Keep-Alive` header.
    peer_idle_timeout: Option<Duration>,
}

/// The state of a connection that waits for a request.
#[derive(Debug)]
struct Idle {
    since: Instant,
}

/// The state of a connection that carries a request.
#[derive(Debug)]
struct Busy;

#[derive(Debug)]
struct Connection<S> {
    sender: SendRequest<Full<Bytes>>,
    opened_at: Instant,
    number: ConnectionNumber,
    local_port: u16,
    // The requests that it was used for, without the present one.
    carried: u64,
    // Set before what was not written is dropped.
    has_ended: Arc<AtomicBool>,
    socket: SocketKeeper,
    state: S,
}

impl<S> Connection<S> {
    fn into_state<T>(self, state: T) -> Connection<T> {
        let Self { sender, opened_at, number, local_port, carried, has_ended, socket, .. } = self;
        Connection { sender, opened_at, number, local_port, carried, has_ended, socket, state }
    }
}

impl Connection<Idle> {
    fn is_usable(&self, peer_idle_timeout: Option<Duration>) -> bool {
        let limit = peer_idle_timeout
            .map_or(MAX_IDLE_AGE, |limit| limit.saturating_sub(IDLE_TIMEOUT_MARGIN));
        self.state.since.elapsed() < limit && self.sender.is_ready()
    }

    fn into_busy(self) -> Connection<Busy> {
        self.socket.set_wanted(true);
        self.into_state(Busy)
    }
}

impl Connection<Busy> {
    fn usage(&self) -> ConnectionUse {
        ConnectionUse { local_port: self.local_port, requests_before: self.carried }
    }

    fn into_idle(self) -> Connection<Idle> {
        self.socket.set_wanted(false);
        let carried = self.carried + 1;
        Connection { carried, ..self.into_state(Idle { since: Instant::now() }) }
    }
}

/// A busy connection checked out of the pool. Dropping the guard closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    shared: Arc<Shared>,
    address: SocketAddr,
    connection: Connection<Busy>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a handle of the same pool; what it buffers of responses draws on `budget`.
    pub fn with_budget(&self, budget: ByteBudget) -> Self {
        Self { budget, ..self.clone() }
    }

    /// Returns the budget of what is buffered.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Sends a request and waits for the response head.
    ///
    /// If a reused connection turns out closed before the request was sent, sends the request over
    /// another connection.
    ///
    /// # Errors
    ///
    /// See [`TransportError`]. [`TransportError::may_have_been_received`] returns whether the
    /// request may have taken effect.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        freshness: Freshness,
        timeouts: &Timeouts,
    ) -> Result<Response<ResponseBody>, TransportError> {
        let connections = RequestConnections::default();
        self.send_over(address, request, freshness, timeouts, &connections).await
    }

    /// Sends one of the sends of a request, as [`Pool::send`] does, but over none of `connections`,
    /// to which it adds each connection that it uses. So an answer on it that carries the identifier
    /// of the request is no copy of one to an earlier send of it.
    ///
    /// # Errors
    ///
    /// As for [`Pool::send`].
    pub async fn send_over_unused(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: &Timeouts,
        connections: &RequestConnections,
    ) -> Result<Response<ResponseBody>, TransportError> {
        self.send_over(address, request, Freshness::Any, timeouts, connections).await
    }

    async fn send_over(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        freshness: Freshness,
        timeouts: &Timeouts,
        connections: &RequestConnections,
    ) -> Result<Response<ResponseBody>, TransportError> {
        let (mut parts, body) = request.into_parts();
        loop {
            let checkout = self.checkout(address, freshness, timeouts.connect, connections);
            let (mut guard, reused) = checkout.await?;
            connections.record(guard.connection.number, guard.connection.usage());
            let has_ended = guard.connection.has_ended.clone();
            let (tracked, upload) = UploadState::track(body.clone(), has_ended);
            let request = Request::from_parts(parts, Full::new(tracked));
            let pending = guard.connection.sender.try_send_request(request);
            match timeout(timeouts.head, pending).await {
                Err(_) => {
                    guard.discard_with_older();
                    return Err(TransportError::Silent { waited: timeouts.head });
                }
                Ok(Ok(response)) => {
                    guard.set_peer_idle_timeout(response.headers());
                    let framing = Framing::of(response.headers());
                    let budget = self.budget.clone();
                    return Ok(response.map(|incoming| ResponseBody {
                        has_body: !incoming.is_end_stream(),
                        incoming,
                        framing,
                        budget,
                        upload,
                        guard: Some(guard),
                    }));
                }
                Ok(Err(mut failure)) => match failure.take_message() {
                    Some(unsent) if reused => parts = unsent.into_parts().0,
                    Some(_) => return Err(TransportError::NotSent),
                    None => {
                        return Err(TransportError::Broken { reason: failure.error().to_string() });
                    }
                },
            }
        }
    }

    /// Returns the state of the connections to each address.
    pub fn state(&self) -> Vec<PoolState> {
        let by_address = self.shared.lock();
        let states = by_address.iter().map(|(&address, connections)| PoolState {
            address,
            idle: connections.idle.len(),
            discarded: connections.discarded,
        });
        states.collect()
    }

    /// Closes all connections and joins the tasks that drive them.
    pub async fn close(&self) {
        self.shared.closing.cancel();
        self.shared.lock().clear();
        self.shared.drivers.close();
        self.shared.drivers.wait().await;
    }

    async fn checkout(
        &self,
        address: SocketAddr,
        freshness: Freshness,
        connect: Duration,
        excluded: &RequestConnections,
    ) -> Result<(ConnectionGuard, bool), TransportError> {
        if freshness == Freshness::Any
            && let Some(connection) = self.shared.take_idle(address, excluded)
        {
            return Ok((self.guard(address, connection), true));
        }
        let connection = self.open(address, connect).await?;
        Ok((self.guard(address, connection), false))
    }

    fn guard(&self, address: SocketAddr, connection: Connection<Busy>) -> ConnectionGuard {
        ConnectionGuard { shared: self.shared.clone(), address, connection }
    }

    async fn open(
        &self,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<Connection<Busy>, TransportError> {
        let unreachable = |reason: String| TransportError::Unreachable { reason };
        let stream = timeout(wait, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable(format!("no connection within {} ms", wait.as_millis())))?
            .map_err(|e| match e.kind() {
                ErrorKind::ConnectionRefused => {
                    TransportError::NoListener { reason: e.to_string() }
                }
                _ => unreachable(e.to_string()),
            })?;
        stream.set_nodelay(true).map_err(|e| unreachable(e.to_string()))?;
        enable_dead_peer_detection(&stream).map_err(|e| unreachable(e.to_string()))?;
        let local_port = stream.local_addr().map_err(|e| unreachable(e.to_string()))?.port();
        let (io, socket) = SocketKeeper::new(stream);
        let handshake = Builder::new().max_buf_size(READ_LIMIT_BYTES).handshake(TokioIo::new(io));
        let (sender, driver) = handshake.await.map_err(|e| unreachable(e.to_string()))?;
        let closing = self.shared.closing.clone();
        let has_ended = Arc::new(AtomicBool::new(false));
        let ends = has_ended.clone();
        self.shared.drivers.spawn(async move {
            let mut driver = driver;
            tokio::select! {
                // The request receives a failure through its sender.
                _ = &mut driver => {}
                () = closing.cancelled() => {}
            }
            ends.store(true, Ordering::Release);
            drop(driver);
        });
        Ok(Connection {
            sender,
            opened_at: Instant::now(),
            number: ConnectionNumber::next(),
            local_port,
            carried: 0,
            has_ended,
            socket,
            state: Busy,
        })
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Connections>> {
        self.by_address.lock().expect("lock is not poisoned")
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        excluded: &RequestConnections,
    ) -> Option<Connection<Busy>> {
        let mut by_address = self.lock();
        let connections = by_address.get_mut(&address)?;
        let is_allowed = |idle: &Connection<Idle>| !excluded.contains(idle.number);
        while let Some(position) = connections.idle.iter().rposition(is_allowed) {
            let connection = connections.idle.remove(position);
            if connection.is_usable(connections.peer_idle_timeout) {
                return Some(connection.into_busy());
            }
        }
        None
    }
}

impl ConnectionGuard {
    /// Returns the connection to the idle list, unless it must not be reused or the list is full.
    pub(crate) fn release(self) {
        if self.shared.closing.is_cancelled() {
            return;
        }
        let mut by_address = self.shared.lock();
        let connections = by_address.entry(self.address).or_default();
        let is_reusable =
            connections.reusable_after.is_none_or(|since| self.connection.opened_at > since);
        if is_reusable && connections.idle.len() < MAX_IDLE_PER_ADDRESS {
            connections.idle.push(self.connection.into_idle());
        }
    }

    /// Watches the connection, which ended in order, for a reset that follows.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub(crate) async fn watch_reset(&self) -> io::Result<()> {
        self.connection.socket.watch_reset().await
    }

    /// Stores the idle timeout from the `Keep-Alive` header, if there is one.
    fn set_peer_idle_timeout(&self, headers: &HeaderMap) {
        let Some(peer_idle_timeout) = keep_alive_timeout(headers) else { return };
        let mut by_address = self.shared.lock();
        by_address.entry(self.address).or_default().peer_idle_timeout = Some(peer_idle_timeout);
    }

    /// Closes this connection and every idle one to the address that is at least as old.
    pub(crate) fn discard_with_older(self) {
        let opened_at = self.connection.opened_at;
        let mut by_address = self.shared.lock();
        let connections = by_address.entry(self.address).or_default();
        connections.discarded += 1;
        connections.reusable_after = connections.reusable_after.max(Some(opened_at));
        connections.idle.retain(|idle| idle.opened_at > opened_at);
    }
}

/// Parses the timeout of a `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|parameter| parameter.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
