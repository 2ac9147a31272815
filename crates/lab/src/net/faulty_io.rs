//! A socket that can go silent.
//!
//! A silent socket swallows what is written and never reports what is read, as when something
//! between the two ends has lost track of the connection.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::net::Connection;

pub(super) struct FaultyIo {
    pub socket: TcpStream,
    pub connection: Connection,
}

impl AsyncRead for FaultyIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for FaultyIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
