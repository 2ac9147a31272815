//! The socket of a connection, kept past the end of the connection while a request is on it.
//!
//! A server that closes a connection with unread bytes of the request resets it, possibly after an
//! orderly end of its answer. Only a socket whose sending side is still open reports that reset. The
//! HTTP connection drops its socket at the end of the answer, so its I/O object hands it over here.
//!
//! Invariants:
//! - The sending side is shut down by closing the socket only.
//! - No socket is kept for an idle connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a connection that ended in order is watched for a reset: round trips within a region,
/// and the time that a busy server takes from the end of its answer to the close of the connection.
const RESET_WATCH: Duration = Duration::from_millis(50);

/// Where the socket of a connection is.
#[derive(Debug)]
enum Holder {
    /// The connection has it; it is closed with the connection unless it is wanted then.
    Connection { is_wanted: bool },
    /// The connection has ended, and its socket is open.
    Keeper(Arc<TcpStream>),
    /// It is closed.
    Nobody,
}

#[derive(Debug)]
struct Shared {
    holder: Mutex<Holder>,
    handed_over: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().expect("lock is not poisoned")
    }
}

/// Keeps the socket of a connection that ends during a request.
#[derive(Debug)]
pub(crate) struct SocketKeeper(Arc<Shared>);

impl SocketKeeper {
    /// Returns the I/O object for a connection over `stream`, and its keeper.
    pub fn new(stream: TcpStream) -> (ConnectionIo, Self) {
        let holder = Mutex::new(Holder::Connection { is_wanted: true });
        let shared = Arc::new(Shared { holder, handed_over: Notify::new() });
        (ConnectionIo { stream: Some(stream), shared: shared.clone() }, Self(shared))
    }

    /// Sets whether a request is on the connection. Without one a socket is not kept.
    pub fn set_wanted(&self, is_wanted: bool) {
        let mut holder = self.0.lock();
        match &mut *holder {
            Holder::Connection { is_wanted: wanted } => *wanted = is_wanted,
            Holder::Keeper(_) if !is_wanted => *holder = Holder::Nobody,
            Holder::Keeper(_) | Holder::Nobody => {}
        }
    }

    /// Watches the socket of a connection that ended in order, and closes it then. A watch that is
    /// dropped can begin again.
    ///
    /// # Errors
    ///
    /// The error of the socket if the peer reset the connection after its end.
    pub async fn watch_reset(&self) -> io::Result<()> {
        let Some(socket) = self.ended_socket().await else { return Ok(()) };
        let reset = Self::watch(&socket).await;
        self.set_wanted(false);
        reset
    }

    async fn watch(socket: &TcpStream) -> io::Result<()> {
        let is_reset = match timeout(RESET_WATCH, socket.ready(Interest::ERROR)).await {
            Ok(ready) => ready?.is_error(),
            Err(_) => false,
        };
        match socket.take_error()? {
            Some(error) => Err(error),
            None if is_reset => Err(io::ErrorKind::ConnectionReset.into()),
            None => Ok(()),
        }
    }

    /// Waits for the end of the connection and returns its socket.
    async fn ended_socket(&self) -> Option<Arc<TcpStream>> {
        loop {
            let handed_over = self.0.handed_over.notified();
            match &*self.0.lock() {
                Holder::Keeper(socket) => return Some(socket.clone()),
                Holder::Nobody => return None,
                Holder::Connection { .. } => {}
            }
            handed_over.await;
        }
    }
}

/// The I/O object of a connection. Hands its socket to the keeper at the end.
#[derive(Debug)]
pub(crate) struct ConnectionIo {
    // `None` only while it is dropped.
    stream: Option<TcpStream>,
    shared: Arc<Shared>,
}

impl ConnectionIo {
    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.as_mut().expect("present until dropped"))
    }
}

impl Drop for ConnectionIo {
    fn drop(&mut self) {
        let mut holder = self.shared.lock();
        let is_wanted = matches!(*holder, Holder::Connection { is_wanted: true });
        *holder = match self.stream.take().filter(|_| is_wanted) {
            Some(stream) => Holder::Keeper(Arc::new(stream)),
            None => Holder::Nobody,
        };
        self.shared.handed_over.notify_waiters();
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(cx, buf)
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
