//! The sends of one request, for log lines.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;

use redwingrill_transport::ConnectionUse;
use redwingrill_transport::RequestConnections;

/// What shows that the upstream did not run a send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Evidence {
    /// No connection was established.
    NotConnected,
    /// The connection gave the request back unwritten.
    NotWritten,
    /// The upstream states it.
    Stated,
    /// The upstream answered that it is not the one that was meant.
    Misdirected,
}

impl Evidence {
    fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotWritten => "not_written",
            Self::Stated => "stated",
            Self::Misdirected => "misdirected",
        }
    }
}

/// One send, as its log line shows it.
#[derive(Clone, Debug, Default)]
pub(super) struct SendTrace {
    number: u32,
    upstream_id: String,
    connection: Option<ConnectionUse>,
    evidence: Option<Evidence>,
}

impl fmt::Display for SendTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { number, upstream_id, connection, evidence } = self;
        write!(f, "send={number} upstream={upstream_id}")?;
        match connection {
            Some(ConnectionUse { local_port, requests_before }) => {
                write!(f, " local_port={local_port} requests_before={requests_before}")?;
            }
            None => write!(f, " local_port=- requests_before=-")?,
        }
        write!(f, " evidence={}", evidence.map_or("none", Evidence::name))
    }
}

/// The sends of one request. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct SendLog {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    connections: RequestConnections,
    last: Mutex<LastSend>,
}

#[derive(Debug, Default)]
struct LastSend {
    trace: SendTrace,
    // The connections that were used before it.
    connections_before: usize,
}

impl SendLog {
    /// Begins a send.
    pub fn begin(&self, upstream_id: &str) {
        let mut last = self.shared.last.lock().expect("no holder panics");
        last.connections_before = self.shared.connections.used().len();
        let number = last.trace.number + 1;
        let upstream_id = upstream_id.to_owned();
        last.trace = SendTrace { number, upstream_id, connection: None, evidence: None };
    }

    /// Returns the record of the connections, for the sends.
    pub fn connections(&self) -> &RequestConnections {
        &self.shared.connections
    }

    /// Records what shows that the last send was not run.
    pub fn record_evidence(&self, evidence: Evidence) {
        self.shared.last.lock().expect("no holder panics").trace.evidence = Some(evidence);
    }

    /// Returns the last send.
    pub fn last(&self) -> SendTrace {
        let last = self.shared.last.lock().expect("no holder panics");
        let used = self.shared.connections.used();
        let connection = used.get(last.connections_before..).and_then(|used| used.last().copied());
        SendTrace { connection, ..last.trace.clone() }
    }
}
