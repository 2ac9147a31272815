//! Why a request over a connection failed.

use std::time::Duration;

use snafu::Snafu;

/// Why a request failed, by what is known of its receipt.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No connection could be opened; the request was not sent.
    #[snafu(display("cannot connect: {reason}"))]
    Unreachable {
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
    /// Nothing came within the time allowed, after the request was sent.
    #[snafu(display("no answer within {} ms", waited.as_millis()))]
    Silent {
        /// How long the answer was awaited.
        waited: Duration,
    },
    /// The body is larger than the caller accepts.
    #[snafu(display("body larger than {limit_bytes} bytes"))]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
}

impl TransportError {
    /// Returns whether the other end may have received the request.
    pub fn may_have_been_received(&self) -> bool {
        !matches!(self, Self::Unreachable { .. } | Self::NotSent)
    }
}
