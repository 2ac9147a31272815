//! What a request asks for, and what it gets.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::fleet::UpstreamIndex;
use crate::placement::AffinityKey;
use crate::placement::Scope;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct ScheduleRequest {
    /// The service that answers.
    pub service: String,
    /// The prompt, where one is declared.
    pub prompt: Option<Arc<DeclaredPrompt>>,
    /// The client account, if it shares no cached part with others.
    pub isolated_account: Option<String>,
    /// The rank; zero is the most urgent.
    pub urgency: u8,
    /// When the request came, on the node's clock.
    pub arrived_ms: u64,
    /// When the answer is worthless, on the node's clock.
    pub deadline_ms: u64,
    /// The time within which an answer is worth most.
    pub target_ms: u64,
    /// Upstreams that the request was sent to before.
    pub tried: Vec<UpstreamIndex>,
}

impl ScheduleRequest {
    /// Returns the scope of the request's cached parts under a version of the weights.
    pub fn scope(&self, version: WeightsVersion) -> Scope {
        Scope::new(version, self.isolated_account.as_deref())
    }
}

/// An upstream for a request.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The upstream at this node.
    pub index: UpstreamIndex,
    /// The upstream as listed.
    pub upstream: Arc<Upstream>,
    /// The weights that the request runs on.
    pub version: Option<WeightsVersion>,
    /// The scope of its cached parts.
    pub scope: Option<Scope>,
    /// The shared prefix.
    pub affinity: Option<AffinityKey>,
    /// Prompt tokens that the upstream is expected to read.
    pub pending_prefill_tokens: u64,
    /// Tokens that the request holds in the upstream's memory until it ends.
    pub reserved_tokens: u64,
    /// Where the upstream fetches parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where the upstream sends the parts that it reads.
    pub save_to: Option<SocketAddr>,
}

/// Why a request is refused before it is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalCause {
    /// No upstream of the service takes requests.
    NoUpstream,
    /// Every upstream is so loaded that the answer would come too late.
    Overloaded,
    /// The request may not be sent again within the bound on repeats.
    RepeatBudget,
    /// The node stops.
    Stopping,
}

/// What becomes of a request.
#[derive(Clone, Debug)]
pub enum Choice {
    /// It goes to this upstream.
    Send(Box<Assignment>),
    /// It waits: no upstream has room now.
    Wait,
    /// It is refused; it has not run.
    Refuse {
        /// The cause.
        cause: RefusalCause,
        /// When it is best sent again.
        retry_after_ms: u64,
    },
}
