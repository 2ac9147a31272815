//! What the heads of requests and replies say.

use std::net::SocketAddr;
use std::time::Duration;

use crate::DeclaredPrompt;
use crate::WeightsVersion;

/// What the head of a caller's request says.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RequestMetadata {
    /// The identifier that the caller gave to this attempt.
    pub id: String,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The key that the caller presents.
    pub key: Option<String>,
    /// The last event that the caller has of a stream that broke.
    pub last_event_id: Option<u64>,
    /// The prompt, where one is declared.
    pub prompt: Option<DeclaredPrompt>,
}

/// The load that an upstream reports of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// What the head of an upstream's reply says.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ResponseMetadata {
    /// The request that the reply belongs to, as the upstream echoes it.
    pub request_id: Option<String>,
    /// Whether the upstream signed the reply.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub has_not_run: bool,
    /// Whether the bytes are in a coding that the caller did not ask for.
    pub has_unexpected_encoding: bool,
    /// The load of the upstream.
    pub load: Option<ReportedLoad>,
    /// The identity of the upstream that answers, if it tells.
    pub upstream_id: Option<String>,
    /// The weights that answer.
    pub weights_version: Option<WeightsVersion>,
}

/// What goes into the head of a request to an upstream, beside what the caller sent.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct AttemptMetadata {
    /// How long the upstream may work.
    pub deadline: Duration,
    /// The client account.
    pub account: Option<String>,
    /// The identity of the upstream; any other refuses.
    pub upstream_id: String,
    /// The version of the weights; an upstream with any other refuses.
    pub weights_version: Option<WeightsVersion>,
    /// The urgency at the upstream, from 0 (first) to 9.
    pub urgency: Option<u8>,
    /// Cached parts are found only under the same scope.
    pub cache_scope: Option<String>,
    /// Where the upstream fetches parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where the upstream sends the parts that it has read.
    pub save_to: Option<SocketAddr>,
    /// The last event that was delivered of a stream that another run goes on with.
    pub last_event_id: Option<u64>,
}
