//! The answer of a node.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Where a request would go, by one node.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The name of the node.
    pub node: String,
    /// The name of the route.
    pub route: String,
    /// The client account, if one was given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountAnswer>,
    /// The services of the route, each with its share of the requests.
    pub services: Vec<ServiceAnswer>,
}

/// The client account of a request.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct AccountAnswer {
    /// The name.
    pub name: String,
    /// The quota; none if the account has none, or the node does not know its state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaAnswer>,
    /// The share of the capacity; none if accounts have no shares.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ShareAnswer>,
}

/// The quota of an account.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// The units per second.
    pub rate_per_s: u64,
    /// The units that may be used at once beyond the rate, if it is configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<u64>,
    /// What is counted: `requests` or `tokens`.
    pub unit: String,
    /// What the request would use.
    pub cost: u64,
    /// What this node could spend now, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub available: Option<u64>,
}

/// The share of an account in the capacity.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ShareAnswer {
    /// The configured weight, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u64>,
    /// What the account used lately, relative to its share, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<f64>,
}

/// Where a request would go if it goes to this service.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The service or model.
    pub service: String,
    /// Its share of the requests of the route, from zero to one.
    pub share: f64,
    /// Whether the prompt counts as long; none without a prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub is_long: Option<bool>,
    /// Whether the request can no longer meet its target, even if it is sent now.
    pub is_late: bool,
    /// The coordinator that would decide; none if the node decides by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coordinator: Option<CoordinatorAnswer>,
    /// The decision in the view of this node.
    pub decision: DecisionAnswer,
    /// The queue that the request would meet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueAnswer>,
    /// The range of the random cost that is added to that of each candidate.
    pub noise_ms: f64,
    /// All upstreams of the service.
    pub upstreams: Vec<UpstreamAnswer>,
}

/// The node that decides for a group of engines.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct CoordinatorAnswer {
    /// The name of the node, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// Its address for messages between nodes.
    pub address: SocketAddr,
    /// Whether it is the node that answers; its answer then is the coordinator's own.
    pub is_this_node: bool,
    /// Identifies the group.
    pub group: String,
    /// The number of engines in the group.
    pub engines: usize,
    /// The number of groups of the service.
    pub groups: usize,
    /// The failure domain of the engines; none if they are of several.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<String>,
}

/// What would be done with a request.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct DecisionAnswer {
    /// What would be done.
    pub outcome: Outcome,
    /// The chosen upstream; none if one of those that are compared is chosen at random.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Why it would be refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The delay that the caller would be told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// What would be done with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It is sent.
    Send,
    /// It waits.
    Wait,
    /// It is refused.
    Refuse,
}

/// The queue that a request would meet.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct QueueAnswer {
    /// Requests that wait for the same capacity.
    pub waiting: usize,
    /// How many may wait.
    pub limit: usize,
    /// The expected wait by the rate at which they leave.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_wait_ms: Option<u64>,
    /// How long the request may wait from its arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_limit_ms: Option<u64>,
}

/// One upstream.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct UpstreamAnswer {
    /// The identity.
    pub id: String,
    /// The address.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether the request may go there.
    pub standing: Standing,
    /// What excludes it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The components of its cost; empty if it is excluded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub costs: Vec<CostComponent>,
    /// The sum of the components.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost_ms: Option<f64>,
    /// Running and queued requests, if they are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// Requests that it runs at once, or that the node may have there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// The time that it needs to prefill the prompts that it has, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending_prefill_ms: Option<f64>,
    /// The tokens that its requests reserve, if they are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reserved_tokens: Option<u64>,
    /// The version of the weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_version: Option<u64>,
    /// How much slower than the usual engine it is, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_factor: Option<f64>,
    /// What else is known, such as `prefix` or `preferred`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub marks: Vec<String>,
}

/// Whether a request may go to an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The decision compares it.
    Compared,
    /// It may take the request, but is not compared: it is left out of the random sample, the node has
    /// used its share of it, or it is tried last.
    Passed,
    /// A limit is exhausted.
    Full,
    /// It may not serve the request.
    Ineligible,
}

/// One component of a cost.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct CostComponent {
    /// Its name.
    pub name: String,
    /// Its value.
    pub ms: f64,
}

/// Rounds to microseconds; costs are not known better.
pub fn rounded_ms(ms: f64) -> f64 {
    (ms * 1_000.0).round() / 1_000.0
}
