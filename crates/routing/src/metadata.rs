//! Metadata from the heads of requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use crate::DeclaredPrompt;
use crate::UpstreamSignals;
use crate::WeightsVersion;

/// Metadata from the head of a caller's request.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RequestMetadata {
    /// The caller's identifier of this attempt.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key that the caller presents.
    pub key: Option<String>,
    /// The last event that the caller received of an interrupted stream.
    pub last_event_id: Option<u64>,
    /// The caller's identifier of the attempt that brought the first event of that stream.
    pub resumes: Option<String>,
    /// The prompt, if one is declared.
    pub prompt: Option<DeclaredPrompt>,
    /// The prompt tokens and the maximum of output tokens together, if they are declared.
    pub declared_tokens: Option<u64>,
}

/// The load that an upstream reports.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReportedLoad {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests in the upstream's queue.
    pub waiting: u32,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// How long work takes on the upstream's machine at this moment, in percent of the usual time.
    pub slowdown_percent: Option<u32>,
}

/// Metadata from the head of an upstream's response.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ResponseMetadata {
    /// The identifier of the request that the response belongs to, as echoed by the upstream.
    pub request_id: Option<String>,
    /// Whether the upstream signed the response.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub has_not_run: bool,
    /// Whether the body has a content encoding that the caller did not ask for.
    pub has_unexpected_encoding: bool,
    /// The load of the upstream, if reported.
    pub load: Option<ReportedLoad>,
    /// The identity of the responding upstream, if reported.
    pub upstream_id: Option<String>,
    /// The version of the weights that produced the response.
    pub weights_version: Option<WeightsVersion>,
    /// What the upstream says of itself.
    pub signals: UpstreamSignals,
}

/// Metadata that the router adds to the head of a request to an upstream.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct AttemptMetadata {
    /// How long the upstream may take.
    pub deadline: Duration,
    /// The client account.
    pub account: Option<String>,
    /// The identity of the intended upstream; any other upstream refuses the request.
    pub upstream_id: String,
    /// The required version of the weights; an upstream with another version refuses the request.
    pub weights_version: Option<WeightsVersion>,
    /// The priority at the upstream, from 0 (first) to 9.
    pub urgency: Option<u8>,
    /// The scope of cached parts; parts are shared only within one scope.
    pub cache_scope: Option<String>,
    /// Where the upstream fetches parts that it does not hold.
    pub fetch_from: Option<SocketAddr>,
    /// Where the upstream saves parts after prefill.
    pub save_to: Option<SocketAddr>,
    /// The last delivered event of a stream that another run resumes.
    pub last_event_id: Option<u64>,
}
