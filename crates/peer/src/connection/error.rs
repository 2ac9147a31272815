//! Why a call to a peer fails.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::TlsError;

/// Why an endpoint does not start.
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

/// Why a call to a peer failed.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No connection could be made; the call was not sent.
    #[snafu(display("no connection: {reason}"))]
    Unreachable {
        /// The cause.
        reason: String,
    },
    /// The call was sent and not answered in time; it may have been carried out.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The connection broke during the call, which may have been carried out.
    #[snafu(display("connection lost: {reason}"))]
    ConnectionLost {
        /// The cause.
        reason: String,
    },
}

impl PeerError {
    /// Returns whether the call may have been carried out.
    pub fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::Unreachable { .. })
    }
}
