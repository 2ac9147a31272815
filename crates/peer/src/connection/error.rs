//! Errors of the endpoint and of calls to peers.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::TlsError;

/// The reason why an endpoint failed to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The certificates cannot be used.
    #[snafu(context(false), display("{source}"))]
    Tls {
        /// The cause.
        source: TlsError,
    },
    /// The address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// The reason why a call to a peer failed.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No connection could be established; the call was not sent.
    #[snafu(display("no connection: {reason}"))]
    Unreachable {
        /// The cause.
        reason: String,
    },
    /// The call was sent, but no response arrived in time. It may have been executed.
    #[snafu(display("no response in time"))]
    TimedOut,
    /// The connection was lost during the call, which may have been executed.
    #[snafu(display("connection lost: {reason}"))]
    ConnectionLost {
        /// The cause.
        reason: String,
    },
}

impl PeerError {
    /// Returns whether the call may have been executed.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::Unreachable { .. })
    }
}
