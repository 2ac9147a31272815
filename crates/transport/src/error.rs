//! Errors of requests over a connection.

use std::time::Duration;

use snafu::Snafu;

/// The reason why a request failed. It determines whether the request may have been received.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No connection could be opened; the request was not sent.
    #[snafu(display("cannot connect: {reason}"))]
    Unreachable {
        /// The cause, for logs.
        reason: String,
    },
    /// Nothing listens at the address; the request was not sent.
    #[snafu(display("cannot connect: {reason}"))]
    NoListener {
        /// The cause, for logs.
        reason: String,
    },
    /// The connection closed before the request was sent.
    #[snafu(display("connection closed before the request was sent"))]
    NotSent,
    /// The connection failed after the request was sent.
    #[snafu(display("connection failed: {reason}"))]
    Broken {
        /// The cause, for logs.
        reason: String,
    },
    /// No response data arrived within the timeout after the request was sent.
    #[snafu(display("no answer within {} ms", waited.as_millis()))]
    Silent {
        /// The timeout.
        waited: Duration,
    },
    /// The body is larger than the caller accepts.
    #[snafu(display("body larger than {limit_bytes} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The body is larger than the buffers of the process allow now.
    #[snafu(display("the buffers of the process are full"))]
    BuffersFull,
}

impl TransportError {
    /// Returns whether the server may have received the request.
    pub fn may_have_been_received(&self) -> bool {
        !matches!(self, Self::Unreachable { .. } | Self::NoListener { .. } | Self::NotSent)
    }
}
