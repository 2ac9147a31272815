//! Schedule requests and the decisions on them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Shortage;
use crate::engine_model::PromptWork;
use crate::engine_model::RouteTag;
use crate::fleet::UpstreamIndex;
use crate::placement::AffinityKey;
use crate::placement::Scope;
use crate::quarantine::PartKey;
use redwingrill_routing::AccountTag;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;

/// The client account of a request, as far as its share of the capacity depends on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct AccountShare {
    /// The account.
    pub tag: AccountTag,
    /// The configured weight relative to other accounts, for example the account's rate; `None` if
    /// none is configured.
    pub weight: Option<u64>,
}

/// The requirements of a request.
#[derive(Clone, Debug)]
pub struct ScheduleRequest {
    /// The requested service.
    pub service: String,
    /// The route.
    pub route: RouteTag,
    /// The prompt, if one is declared.
    pub prompt: Option<Arc<DeclaredPrompt>>,
    /// The client accounts that share cached prompt parts with the request.
    pub audience: CacheAudience,
    /// The client account, if the request has one.
    pub account: Option<AccountShare>,
    /// The priority; zero is the most urgent.
    pub urgency: u8,
    /// When the last byte of the request arrived, in milliseconds on the node's clock.
    pub arrived_ms: u64,
    /// The deadline of the response, in milliseconds on the node's clock.
    pub deadline_ms: u64,
    /// The latency target in milliseconds; zero if none is stated.
    pub target_ms: u64,
    /// When the caller leaves unless there is a first event, in milliseconds on the node's clock.
    pub leaves_ms: u64,
    /// The longest pause between events that the route allows, in milliseconds.
    pub pause_target_ms: Option<u64>,
    /// The failure domain of the node that sends the request, if it is not the deciding one.
    pub origin_domain: Option<String>,
    /// Upstreams to which the request was already sent.
    pub tried: Vec<UpstreamIndex>,
    /// The version of the software that the upstream must run, if the request continues a stream.
    pub software: Option<SoftwareVersion>,
}

impl ScheduleRequest {
    /// Returns whether an upstream runs the software that the request needs. One that states no
    /// version does not.
    pub fn accepts_software(&self, upstream: &Upstream) -> bool {
        self.software.is_none() || self.software == upstream.software
    }

    /// Returns whether the request's account has a configured rate, which bounds its floods.
    pub fn has_bounded_account(&self) -> bool {
        self.account.is_some_and(|account| account.weight.is_some())
    }

    /// Returns the prefill of the prompt at an engine that holds nothing of it.
    pub fn cold_work(&self) -> PromptWork {
        let prompt_tokens =
            self.prompt.as_ref().map_or(0, |prompt| u64::from(prompt.prompt_tokens));
        PromptWork { unread_tokens: prompt_tokens, prompt_tokens }
    }

    /// Returns the tokens that the request reserves in an engine's memory: its prompt and the most of
    /// its response.
    pub fn reserved_tokens(&self) -> u64 {
        self.prompt.as_ref().map_or(0, |prompt| {
            u64::from(prompt.prompt_tokens) + u64::from(prompt.output_tokens_limit)
        })
    }

    /// Returns the scope of the request's cached parts for a version of the weights.
    pub fn scope(&self, version: WeightsVersion) -> Scope {
        Scope::new(version, &self.audience)
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
    /// All tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the upstream is expected to fetch.
    pub fetched_tokens: u64,
    /// Tokens of other prompts that the upstream had to prefill when the request was assigned.
    pub queued_tokens: u64,
    /// When the request was assigned, in milliseconds on the node's clock.
    pub sent_ms: u64,
    /// The pause after which a stream of this request is stalled, in milliseconds.
    pub stall_timeout_ms: u64,
    /// The coordinator that made the assignment; `None` if the node decided by itself.
    pub coordinator: Option<SocketAddr>,
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
    Overloaded(Shortage),
    /// The retry budget does not allow another attempt.
    RepeatBudget,
    /// The node is stopping.
    Stopping,
    /// This part of the prompt is quarantined.
    Quarantined(PartKey),
    /// The prompt and its response do not fit into the memory of an engine.
    TooLarge {
        /// The tokens of the prompt and the most of its response.
        tokens: u64,
        /// The tokens for which an engine has memory.
        engine_tokens: u64,
    },
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
