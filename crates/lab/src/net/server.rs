//! An HTTP server that joins every connection task that it spawned.

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
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::net::Body;
use crate::net::Connection;
use crate::net::Connections;
use crate::net::Cut;
use crate::net::faulty_io::FaultyIo;

const GARBAGE: &[u8] = b"\x00\xffnot an HTTP reply\r\n\r\n";

/// What to do with a connection that was just accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Accept {
    /// Serve requests.
    Serve,
    /// Close it.
    Close,
    /// Keep it open and say nothing.
    Silent,
    /// Write bytes that are no HTTP reply and close it.
    Garbage,
    /// Serve requests after a time.
    Slow(Duration),
}

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Decides about a new connection.
    fn accept(&self) -> Accept {
        Accept::Serve
    }

    /// Answers one request; an error closes the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Cut>> + Send;
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Connections,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds an address, port 0 for any free one, and serves it.
    pub async fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let connections = Connections::default();
        Self::start_with(address, handler, connections).await
    }

    /// Like [`Server::start`] with a list of connections that the handler shares.
    pub async fn start_with<H: Handler>(
        address: SocketAddr,
        handler: Arc<H>,
        connections: Connections,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept_loop(listener, handler, connections.clone(), stop.clone()));
        Ok(Self { address, connections, stop, task })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open connections.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Closes the listener and all connections, and joins their tasks.
    pub async fn stop(self) {
        self.stop.cancel();
        self.task.await.expect("the accept loop does not panic");
    }
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    connections: Connections,
    stop: CancellationToken,
) {
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        // A failed accept concerns one caller only.
        let Ok((socket, _)) = accepted else { continue };
        let connection = connections.open();
        tasks.spawn(serve(socket, handler.clone(), connection, stop.clone()));
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn serve<H: Handler>(
    mut socket: TcpStream,
    handler: Arc<H>,
    connection: Connection,
    stop: CancellationToken,
) {
    // Without it the kernel may hold small events back; a failure only costs latency.
    let _ = socket.set_nodelay(true);
    match handler.accept() {
        Accept::Serve => {}
        Accept::Close => return,
        Accept::Slow(delay) => tokio::time::sleep(delay).await,
        Accept::Silent => connection.silence(),
        Accept::Garbage => {
            let _ = socket.write_all(GARBAGE).await;
            return;
        }
    }
    let io = TokioIo::new(FaultyIo { socket, connection: connection.clone() });
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(connection.clone());
        let handler = handler.clone();
        async move { handler.handle(request).await }
    });
    let serving = http1::Builder::new().serve_connection(io, service);
    tokio::select! {
        // The outcome of one connection concerns its caller only.
        _ = serving => {}
        () = connection.closed() => {}
        () = stop.cancelled() => {}
    }
}
