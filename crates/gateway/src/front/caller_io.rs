//! The connection of a caller.
//!
//! A caller that sent a request and waits must be known to be there, so that nothing is run for one
//! that is gone. One that reads a response may pause: the time after which it counts as gone is longer
//! from the first byte of a response to the next request.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;

use redwingrill_transport::allow_slow_reader;

/// The stream of a connection.
#[derive(Debug)]
pub(super) struct CallerIo {
    io: TokioIo<TcpStream>,
    // Whether a response was begun since the last request.
    is_responding: bool,
}

impl CallerIo {
    pub fn new(stream: TcpStream) -> Self {
        Self { io: TokioIo::new(stream), is_responding: false }
    }

    pub fn stream(&self) -> &TcpStream {
        self.io.inner()
    }

    fn set_responding(&mut self, is_responding: bool) {
        if std::mem::replace(&mut self.is_responding, is_responding) != is_responding
            && let Err(e) = allow_slow_reader(self.stream(), is_responding)
        {
            debug!("event=socket_option_failed reason={:?}", e.to_string());
        }
    }
}

impl Read for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        if read.is_ready() {
            self.set_responding(false);
        }
        read
    }
}

impl Write for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_responding(true);
        Pin::new(&mut self.io).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_responding(true);
        Pin::new(&mut self.io).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
