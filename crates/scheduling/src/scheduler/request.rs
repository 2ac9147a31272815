//! Schedule requests and the decisions on them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::fleet::UpstreamIndex;
use crate::placement::AffinityKey;
use crate::placement::Scope;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;

/// The requirements of a request.
#[derive(Clone, Debug)]
pub struct ScheduleRequest {
    /// The requested service.
    pub service: String,
    /// The prompt, if one is declared.
    pub prompt: Option<Arc<DeclaredPrompt>>,
    /// The client account, if its cached parts are isolated.
    pub isolated_account: Option<String>,
    /// The priority; zero is the most urgent.
    pub urgency: u8,
    /// The arrival time, in milliseconds on the node's clock.
    pub arrived_ms: u64,
    /// The deadline of the response, in milliseconds on the node's clock.
    pub deadline_ms: u64,
    /// The latency target in milliseconds.
    pub target_ms: u64,
    /// Upstreams to which the request was already sent.
    pub tried: Vec<UpstreamIndex>,
}

impl ScheduleRequest {
    /// Returns the scope of the request's cached parts for a version of the weights.
    pub fn scope(&self, version: WeightsVersion) -> Scope {
        Scope::new(version, self.isolated_account.as_deref())
    }
}

/// The upstream that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The upstream at this node.
    pub index: UpstreamIndex,
    /// The upstream as listed.
    pub upstream: Arc<Upstream>,
    /// The version of the weights that the request runs on.
    pub version: Option<WeightsVersion>,
    /// The scope of the cached parts.
    pub scope: Option<Scope>,
    /// The affinity key of the shared prefix.
    pub affinity: Option<AffinityKey>,
    /// Prompt tokens that the upstream is expected to prefill.
    pub pending_prefill_tokens: u64,
    /// Tokens that the request reserves in the upstream's memory until it ends.
    pub reserved_tokens: u64,
    /// Where the upstream fetches parts that it does not hold.
    pub fetch_from: Option<SocketAddr>,
    /// Where the upstream saves parts after prefill.
    pub save_to: Option<SocketAddr>,
}

/// Why a request is refused before it is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalCause {
    /// No upstream of the service is available.
    NoUpstream,
    /// The load is so high that the response would come too late.
    Overloaded,
    /// The retry budget does not allow another attempt.
    RepeatBudget,
    /// The node is stopping.
    Stopping,
}

/// The decision on a request.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send it to this upstream.
    Send(Box<Assignment>),
    /// Let it wait; no upstream has capacity now.
    Wait,
    /// Refuse it; it has not run.
    Refuse {
        /// The cause.
        cause: RefusalCause,
        /// The delay after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}
