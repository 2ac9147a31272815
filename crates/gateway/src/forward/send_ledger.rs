//! The sends of one request, and what shows that none of them was run.
//!
//! The load pattern: upstreams that repeat an answer where the next one is expected, and that a
//! request is sent to twice because their entry was replaced meanwhile. The copy of a refusal carries
//! the identifier of the request, so the identifier does not tell of which send it is.
//!
//! Invariants:
//! - A send counts as a possible run from its begin, until its own [`NotRun`] is recorded. So one whose
//!   future is dropped stays a possible run.
//! - A [`NotRun`] is made in this module only, from a connection that was not established, a request
//!   that was handed back unwritten, or a statement in the first answer to the request on its
//!   connection: no connection carries two sends of a request.
//! - A refusal that says that the request was not run needs a [`NoneRan`].

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::response::Parts;

use redwingrill_codes::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_routing::ResponseMetadata;
use redwingrill_transport::ConnectionUse;
use redwingrill_transport::Pool;
use redwingrill_transport::RequestConnections;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

/// What shows that the upstream did not run a send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Evidence {
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
    fn of_error(error: &TransportError) -> Option<Self> {
        match error {
            TransportError::Unreachable { .. } | TransportError::NoListener { .. } => {
                Some(Self::NotConnected)
            }
            TransportError::NotSent => Some(Self::NotWritten),
            TransportError::Broken { .. }
            | TransportError::Silent { .. }
            | TransportError::TooLarge { .. }
            | TransportError::BuffersFull => None,
        }
    }

    fn of_answer(status: StatusCode, metadata: &ResponseMetadata) -> Option<Self> {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Some(Self::Misdirected);
        }
        metadata.has_not_run.then_some(Self::Stated)
    }

    fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotWritten => "not_written",
            Self::Stated => "stated",
            Self::Misdirected => "misdirected",
        }
    }
}

/// The sends of one request. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct SendLedger {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    request_id: String,
    connections: RequestConnections,
    sends: Mutex<Vec<Send>>,
}

#[derive(Debug)]
struct Send {
    upstream_id: String,
    // The connections that were used before it.
    connections_before: usize,
    not_run: Option<Evidence>,
}

impl SendLedger {
    /// Creates the ledger of a request that was not sent yet.
    pub fn new(request_id: &str) -> Self {
        let shared = Shared { request_id: request_id.to_owned(), ..Shared::default() };
        Self { shared: Arc::new(shared) }
    }

    /// Begins a send, which counts as a possible run from now on.
    pub fn open(&self, upstream_id: &str) -> OpenSend {
        let connections_before = self.shared.connections.used().len();
        let mut sends = self.lock();
        let upstream_id = upstream_id.to_owned();
        sends.push(Send { upstream_id, connections_before, not_run: None });
        OpenSend(SendKey { ledger: self.clone(), index: sends.len() - 1 })
    }

    /// Returns the number of sends that an upstream may have run, or may run yet.
    pub fn possible_runs(&self) -> u32 {
        let sends = self.lock();
        sends.iter().filter(|send| send.not_run.is_none()).count() as u32
    }

    /// Returns the evidence that no upstream ran the request or will run it; `None` if one may.
    pub fn none_ran(&self) -> Option<NoneRan> {
        (self.possible_runs() == 0).then_some(NoneRan { _private: () })
    }

    /// Returns the last send, for log lines.
    pub fn last(&self) -> SendTrace {
        let sends = self.lock();
        let Some(last) = sends.last() else { return SendTrace::default() };
        let used = self.shared.connections.used();
        SendTrace {
            number: sends.len(),
            upstream_id: last.upstream_id.clone(),
            connection: used.get(last.connections_before..).and_then(|used| used.last().copied()),
            not_run: last.not_run,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Send>> {
        self.shared.sends.lock().expect("no holder panics")
    }
}

#[derive(Debug)]
struct SendKey {
    ledger: SendLedger,
    index: usize,
}

/// A send that has no answer.
#[derive(Debug)]
#[must_use]
pub(super) struct OpenSend(SendKey);

impl OpenSend {
    /// Sends the request over a connection that carried no other send of it, and waits for the head
    /// of the answer.
    pub async fn transmit(
        self,
        pool: &Pool,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: &Timeouts,
    ) -> Result<AnsweredSend, FailedSend> {
        let connections = &self.0.ledger.shared.connections;
        match pool.send_over_unused(address, request, timeouts, connections).await {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                Ok(AnsweredSend { parts, body, key: self.0 })
            }
            Err(error) => {
                let evidence = Evidence::of_error(&error);
                let not_run = evidence.map(|evidence| NotRun { key: self.0, evidence });
                Err(FailedSend { error, not_run })
            }
        }
    }
}

/// A send that failed without a head.
#[derive(Debug)]
pub(super) struct FailedSend {
    pub error: TransportError,
    /// `None` if the upstream may have run the send.
    pub not_run: Option<NotRun>,
}

/// A send with the head of an answer.
#[derive(Debug)]
pub(super) struct AnsweredSend {
    pub parts: Parts,
    pub body: ResponseBody,
    key: SendKey,
}

impl AnsweredSend {
    /// Returns whether the answer carries the identifier of the request.
    pub fn is_of_request(&self, metadata: &ResponseMetadata) -> bool {
        metadata.request_id.as_deref() == Some(self.key.ledger.shared.request_id.as_str())
    }

    /// Splits off the evidence that the upstream did not run the send, if the answer states it.
    pub fn into_not_run(
        self,
        metadata: &ResponseMetadata,
    ) -> (Parts, ResponseBody, Option<NotRun>) {
        let evidence = Evidence::of_answer(self.parts.status, metadata);
        let evidence = evidence.filter(|_| self.is_of_request(metadata));
        let Self { parts, body, key } = self;
        (parts, body, evidence.map(|evidence| NotRun { key, evidence }))
    }
}

/// Shows that the upstream of one send did not run it and will not.
#[derive(Debug)]
#[must_use]
pub(super) struct NotRun {
    key: SendKey,
    evidence: Evidence,
}

impl NotRun {
    /// Records that the send is no possible run.
    pub fn record(self) {
        let Self { key: SendKey { ledger, index }, evidence } = self;
        ledger.lock()[index].not_run = Some(evidence);
    }
}

/// Shows that no upstream ran a request or will run it, at the time when it is made.
#[derive(Debug)]
#[must_use]
pub(super) struct NoneRan {
    _private: (),
}

/// Why a request failed that an upstream may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum UnknownOutcome {
    /// An upstream failed, or none could be tried after it.
    Failed,
    /// An upstream did not answer in time.
    Silent,
}

/// The refusal of a request that was sent, or was to be sent.
#[derive(Debug)]
pub(super) struct SendRefusal(Refusal);

impl SendRefusal {
    /// Refuses a request that was not run.
    pub fn not_run(_evidence: NoneRan, refusal: Refusal) -> Self {
        Self(refusal)
    }

    /// Refuses a request that may have been run.
    pub fn unknown(outcome: UnknownOutcome, detail: impl Into<String>) -> Self {
        let code = match outcome {
            UnknownOutcome::Failed => ResultCode::UpstreamFailed,
            UnknownOutcome::Silent => ResultCode::UpstreamSilent,
        };
        Self(Refusal::with_detail(code, detail))
    }
}

impl From<SendRefusal> for Refusal {
    fn from(refusal: SendRefusal) -> Self {
        refusal.0
    }
}

/// One send, as its log line shows it.
#[derive(Clone, Debug, Default)]
pub(super) struct SendTrace {
    number: usize,
    upstream_id: String,
    connection: Option<ConnectionUse>,
    not_run: Option<Evidence>,
}

impl fmt::Display for SendTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { number, upstream_id, connection, not_run } = self;
        write!(f, "send={number} upstream={upstream_id}")?;
        match connection {
            Some(ConnectionUse { local_port, requests_before }) => {
                write!(f, " local_port={local_port} requests_before={requests_before}")?;
            }
            None => write!(f, " local_port=- requests_before=-")?,
        }
        write!(f, " evidence={}", not_run.map_or("none", Evidence::name))
    }
}
