//! The messages between the nodes that request assignments and those that coordinate.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::GroupKey;
use crate::engine_model::RouteTag;
use crate::fleet::EndStatement;
use crate::fleet::NodeLoad;
use crate::fleet::ResponseSample;
use crate::fleet::UpstreamIndex;
use crate::fleet::UpstreamTag;
use crate::scheduler::AccountShare;
use crate::scheduler::Assignment;
use crate::scheduler::ScheduleRequest;
use crate::scheduler::Shortage;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;
use redwingrill_routing::SoftwareVersion;

/// Identifies a node's inquiry for an assignment. Numbers begin again with each run of a node, and
/// its address stays, so a response for an earlier run is told apart only by the run.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct InquiryId {
    /// Identifies the run of the node.
    pub run: u64,
    /// Counts the inquiries of the run.
    pub number: u64,
}

/// A message between nodes.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum CoordinationMessage {
    /// A node requests an assignment, or renews a request that waits.
    Request(Box<AssignmentRequest>),
    /// The coordinator's decision.
    Response(AssignmentResponse),
    /// The load of a node's requests at the engines of a group.
    Report {
        /// The group.
        group: GroupKey,
        /// The report.
        report: LoadReport,
    },
    /// A node no longer needs an assignment.
    Withdrawal {
        /// The group.
        group: GroupKey,
        /// The inquiry.
        inquiry: InquiryId,
    },
    /// A node requests an assignment for a request that continues a stream, or renews it. Earlier
    /// builds cannot decode it, so that they do not assign an engine of another version.
    Continuation {
        /// The request.
        request: Box<AssignmentRequest>,
        /// The version of the software that the engine must run.
        software: SoftwareVersion,
    },
}

/// A request for an assignment.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct AssignmentRequest {
    /// The inquiry.
    pub inquiry: InquiryId,
    /// The group of engines.
    pub group: GroupKey,
    /// Whether the request may wait for capacity.
    pub may_wait: bool,
    /// Whether no other request for the same prompt was made before.
    pub is_first: bool,
    /// What the engine must meet.
    pub requirements: Requirements,
    /// The load of the node.
    pub report: LoadReport,
}

/// What a request requires. Times are relative, as nodes have no common clock.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Requirements {
    service: String,
    route: RouteTag,
    model: String,
    prompt_tokens: u32,
    output_tokens_limit: u32,
    parts: Vec<(u64, u32)>,
    audience: CacheAudience,
    account: Option<AccountShare>,
    urgency: u8,
    age_ms: u64,
    deadline_in_ms: u64,
    target_ms: u64,
    leaves_in_ms: u64,
    pause_target_ms: Option<u64>,
    failure_domain: String,
    excluded: Vec<UpstreamTag>,
}

impl Requirements {
    /// Describes a request with a prompt; `None` without one. The starts of engines in `excluded`
    /// are not to be used.
    pub fn new(
        request: &ScheduleRequest,
        failure_domain: &str,
        excluded: Vec<UpstreamTag>,
        now_ms: u64,
    ) -> Option<Self> {
        let prompt = request.prompt.as_deref()?;
        Some(Self {
            service: request.service.clone(),
            route: request.route,
            model: prompt.model.clone(),
            prompt_tokens: prompt.prompt_tokens,
            output_tokens_limit: prompt.output_tokens_limit,
            parts: prompt.parts.iter().map(|part| (part.id.0, part.tokens)).collect(),
            audience: request.audience.clone(),
            account: request.account,
            urgency: request.urgency,
            age_ms: now_ms.saturating_sub(request.arrived_ms),
            deadline_in_ms: request.deadline_ms.saturating_sub(now_ms),
            target_ms: request.target_ms,
            leaves_in_ms: request.leaves_ms.saturating_sub(now_ms),
            pause_target_ms: request.pause_target_ms,
            failure_domain: failure_domain.to_owned(),
            excluded,
        })
    }

    /// Returns the request on the clock of this node; `index_of` finds the start of an engine.
    /// `software` is the version that the engine must run, if it must run a certain one.
    pub(super) fn into_request(
        self,
        software: Option<SoftwareVersion>,
        now_ms: u64,
        index_of: impl Fn(UpstreamTag) -> Option<UpstreamIndex>,
    ) -> ScheduleRequest {
        let parts = self.parts.iter().map(|&(id, tokens)| PromptPart { id: PartId(id), tokens });
        let prompt = DeclaredPrompt {
            model: self.model,
            prompt_tokens: self.prompt_tokens,
            output_tokens_limit: self.output_tokens_limit,
            parts: parts.collect(),
        };
        ScheduleRequest {
            service: self.service,
            route: self.route,
            prompt: Some(Arc::new(prompt)),
            audience: self.audience,
            account: self.account,
            urgency: self.urgency,
            arrived_ms: now_ms.saturating_sub(self.age_ms),
            deadline_ms: now_ms.saturating_add(self.deadline_in_ms),
            target_ms: self.target_ms,
            leaves_ms: now_ms.saturating_add(self.leaves_in_ms),
            pause_target_ms: self.pause_target_ms,
            origin_domain: Some(self.failure_domain),
            tried: self.excluded.into_iter().filter_map(index_of).collect(),
            software,
        }
    }
}

/// The load of a node's requests, and the assignments that it includes.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifies the run of the node.
    pub node: u64,
    /// Increases with each report.
    pub sequence: u64,
    /// The load at each engine where the node has requests in flight.
    pub upstreams: Vec<(UpstreamTag, NodeLoad)>,
    /// The numbers of the run's inquiries whose assignments arrived recently: those in use are part
    /// of the load, the others were not used.
    pub settled: Vec<u64>,
    /// Starts of engines that the node found to have ended.
    pub ended: Vec<EndStatement>,
    /// The first events of recent responses, each in one report only.
    pub samples: Vec<ResponseSample>,
}

/// The decision on a request for an assignment.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct AssignmentResponse {
    /// The inquiry that it responds to.
    pub inquiry: InquiryId,
    /// The group of engines.
    pub group: GroupKey,
    /// The decision.
    pub decision: Decision,
}

/// A coordinator's decision.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Decision {
    /// The node may send the request.
    Assigned(Grant),
    /// The request waits; the decision follows.
    Queued,
    /// No engine of the group has capacity now, and the request may not wait.
    NoCapacity,
    /// No engine of the group can serve the request.
    NoUpstream,
    /// The request waited in vain.
    Refused {
        /// What left no engine for it.
        shortage: Shortage,
        /// The delay after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An assignment as the coordinator made it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// The start of the engine.
    pub upstream: UpstreamTag,
    /// The version of the weights that the request runs on.
    pub version: Option<u64>,
    /// See [`Assignment`].
    pub pending_prefill_tokens: u64,
    /// See [`Assignment`].
    pub reserved_tokens: u64,
    /// See [`Assignment`].
    pub fetched_tokens: u64,
    /// See [`Assignment`].
    pub queued_tokens: u64,
    /// See [`Assignment`].
    pub fetch_from: Option<SocketAddr>,
    /// See [`Assignment`].
    pub save_to: Option<SocketAddr>,
}

impl From<&Assignment> for Grant {
    fn from(assignment: &Assignment) -> Self {
        Self {
            upstream: UpstreamTag::of_start(&assignment.upstream),
            version: assignment.version.map(|version| version.0),
            pending_prefill_tokens: assignment.pending_prefill_tokens,
            reserved_tokens: assignment.reserved_tokens,
            fetched_tokens: assignment.fetched_tokens,
            queued_tokens: assignment.queued_tokens,
            fetch_from: assignment.fetch_from,
            save_to: assignment.save_to,
        }
    }
}
