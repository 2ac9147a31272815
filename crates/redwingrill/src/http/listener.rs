//! Accepts connections and serves requests on them.
//!
//! ```text
//! bound --accept--> accepting --stop_accepting--> closing --last connection ends--> closed
//! ```
//!
//! In `closing`, requests in flight end normally and idle connections are closed.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::AccountConnections;
use super::Body;
use super::ConnectionOwner;

/// The delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Serves requests of one listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Serves one request on a connection of `owner`.
    fn handle(
        &self,
        request: Request<Incoming>,
        owner: Arc<ConnectionOwner>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Limits of a listener.
#[derive(Clone, Debug)]
pub struct ListenerOptions {
    /// The maximum number of open connections.
    pub connections_limit: usize,
    /// The maximum size of the header section.
    pub header_limit_bytes: usize,
    /// The time within which the header section must arrive.
    pub header_timeout: Duration,
}

/// A listener that accepts connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    tasks: TaskTracker,
    accepting: CancellationToken,
    aborting: CancellationToken,
}

/// A listener that is bound but does not accept connections yet.
#[derive(Debug)]
pub struct BoundListener {
    socket: TcpListener,
    address: SocketAddr,
}

impl BoundListener {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// The I/O error if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// Starts to accept connections.
    pub fn accept<H: Handler>(
        self,
        options: ListenerOptions,
        connections: AccountConnections,
        handler: H,
    ) -> Listener {
        let listener = Listener {
            address: self.address,
            tasks: TaskTracker::new(),
            accepting: CancellationToken::new(),
            aborting: CancellationToken::new(),
        };
        let connection_permits = Arc::new(Semaphore::new(options.connections_limit));
        let acceptor = Acceptor {
            socket: self.socket,
            options,
            connections,
            handler,
            tasks: listener.tasks.clone(),
            accepting: listener.accepting.clone(),
            aborting: listener.aborting.clone(),
            connection_permits,
        };
        listener.tasks.spawn(acceptor.run());
        listener
    }
}

impl Listener {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and closes idle connections. Requests in flight continue.
    pub fn stop_accepting(&self) {
        self.accepting.cancel();
        self.tasks.close();
    }

    /// Closes all connections immediately.
    pub fn abort(&self) {
        self.stop_accepting();
        self.aborting.cancel();
    }

    /// Waits until every connection has closed. Call [`Listener::stop_accepting`] first.
    pub async fn join(&self) {
        self.tasks.wait().await;
    }
}

struct Acceptor<H> {
    socket: TcpListener,
    options: ListenerOptions,
    connections: AccountConnections,
    handler: H,
    tasks: TaskTracker,
    accepting: CancellationToken,
    aborting: CancellationToken,
    connection_permits: Arc<Semaphore>,
}

impl<H: Handler> Acceptor<H> {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                () = self.accepting.cancelled() => return,
                accepted = self.socket.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream),
                Err(e) => {
                    warn!("event=accept_failed reason={:?}", e.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(permit) = self.connection_permits.clone().try_acquire_owned() else {
            // Dropping the stream closes the connection immediately.
            warn!("event=connection_refused reason=limit");
            return;
        };
        if let Err(e) = stream.set_nodelay(true) {
            debug!("event=nodelay_failed reason={:?}", e.to_string());
        }
        let owner = Arc::new(ConnectionOwner::new(self.connections.clone()));
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            let owner = owner.clone();
            // Boxed, because hyper keeps the space of the future for the lifetime of the connection.
            Box::pin(async move { Ok::<_, Infallible>(handler.handle(request, owner).await) })
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.options.header_timeout)
            // The handler refuses headers over the limit with a result code; the limit of the
            // library only bounds memory.
            .max_buf_size((4 * self.options.header_limit_bytes).max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let accepting = self.accepting.clone();
        let aborting = self.aborting.clone();
        self.tasks.spawn(async move {
            let _permit = permit;
            tokio::pin!(connection);
            let mut closing = false;
            loop {
                tokio::select! {
                    ended = connection.as_mut() => {
                        if let Err(e) = ended {
                            debug!("event=connection_ended reason={:?}", e.to_string());
                        }
                        return;
                    }
                    () = accepting.cancelled(), if !closing => {
                        closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    () = aborting.cancelled() => return,
                }
            }
        });
    }
}
