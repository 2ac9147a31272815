//! The desired state as typed data.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use redwingrill_entity::AccountId;
use redwingrill_entity::DomainId;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_entity::ServiceId;
use redwingrill_entity::UpstreamId;

/// The BLAKE3 hash of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes an API key as a caller sends it.
    pub fn of(api_key: &str) -> Self {
        Self(*blake3::hash(api_key.as_bytes()).as_bytes())
    }
}

/// Everything that the operator's files say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Priority classes.
    pub priorities: EntityMap<PriorityId, Priority>,
    /// Models.
    pub models: EntityMap<ModelId, Model>,
    /// Client accounts. Those that a change leaves alone are shared with the state before it.
    pub accounts: EntityMap<AccountId, Arc<Account>>,
    /// Upstreams of every kind.
    pub upstreams: EntityMap<UpstreamId, Upstream>,
    /// Plain services.
    pub services: EntityMap<ServiceId, Service>,
    /// The roles that engines are ordered to take; an engine without an entry keeps its own.
    pub engine_roles: EntityMap<UpstreamId, String>,
}

/// A priority class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Priority {
    /// The name callers use.
    pub name: String,
    /// The place in the order of urgency; zero is the most urgent.
    pub level: u8,
    /// The target for the time to the first token.
    pub first_token_target_ms: u32,
    /// The longest wait in a queue.
    pub queue_deadline_ms: u32,
    /// The share of capacity, in percent, that this priority keeps while others flood.
    pub floor_percent: u8,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name callers use.
    pub name: String,
    /// The weights version that engines should serve.
    pub weights_version: String,
    /// Engines that may load weights at once.
    pub parallel_loads_limit: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The name.
    pub name: String,
    /// The hashes of its API keys.
    pub key_hashes: Vec<KeyHash>,
    /// The priorities it may use; the first is the default.
    pub priorities: Vec<PriorityId>,
    /// The weight of its share among accounts of the same priority.
    pub weight: u32,
    /// The rate limit in prompt and generated tokens, over the whole fleet; zero for none.
    pub tokens_per_s_limit: u64,
    /// The most requests in flight over the whole fleet; zero for no limit.
    pub requests_limit: u32,
    /// The most open connections at one node; zero for no limit.
    pub connections_limit: u32,
}

/// What an upstream is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A KV cache store.
    CacheStore,
    /// An instance of a plain service.
    Service,
}

/// Whether an upstream checks the fencing numbers of orders.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fencing {
    /// The upstream refuses an order with an old number.
    Checked,
    /// The upstream ignores the number.
    Ignored,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The name, the same as in the platform's instance list.
    pub name: String,
    /// What it is.
    pub kind: UpstreamKind,
    /// The address it serves HTTP on.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The model of an engine.
    pub model: Option<ModelId>,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// The most requests in flight at once; zero for no fixed limit.
    pub requests_limit: u32,
    /// Whether the operator drains it: it gets no new work.
    pub drained: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name in the path.
    pub name: String,
    /// The upstreams that serve it.
    pub upstreams: Vec<UpstreamId>,
    /// The calls that may not be repeated.
    pub unrepeatable: Vec<CallPattern>,
    /// How long an Idempotency-Key is retained.
    pub retained_window_s: u32,
    /// The most calls in flight that may not be repeated, for each client account.
    pub in_flight_limit: u32,
    /// The time a call may take.
    pub timeout_ms: u32,
}

/// A set of calls of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPattern {
    /// The HTTP method in upper case.
    pub method: String,
    /// The beginning of the path below the service, starting with a slash.
    pub path_prefix: String,
}

impl CallPattern {
    /// Returns whether a call is in the set.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path_prefix)
    }
}
