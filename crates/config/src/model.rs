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
    /// Hashes an API key in the form that callers send.
    pub fn of(api_key: &str) -> Self {
        Self(*blake3::hash(api_key.as_bytes()).as_bytes())
    }
}

/// The complete configuration that the operator's files describe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Priority classes.
    pub priorities: EntityMap<PriorityId, Priority>,
    /// Models.
    pub models: EntityMap<ModelId, Model>,
    /// Client accounts. Accounts that a change does not affect are shared with the previous state.
    pub accounts: EntityMap<AccountId, Arc<Account>>,
    /// Upstreams of every kind.
    pub upstreams: EntityMap<UpstreamId, Upstream>,
    /// Plain services.
    pub services: EntityMap<ServiceId, Service>,
    /// The roles that engines are commanded to take; an engine without an entry keeps its own role.
    pub engine_roles: EntityMap<UpstreamId, String>,
}

/// A priority class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Priority {
    /// The name callers use.
    pub name: String,
    /// The rank in the order of urgency; zero is the most urgent.
    pub level: u8,
    /// The target for the time to the first token.
    pub first_token_target_ms: u32,
    /// The maximum wait in a queue.
    pub queue_deadline_ms: u32,
    /// The share of capacity, in percent, that this priority keeps when other priorities are
    /// overloaded.
    pub floor_percent: u8,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The name callers use.
    pub name: String,
    /// The weights version that engines should serve.
    pub weights_version: String,
    /// The maximum number of engines that load weights of this model concurrently.
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
    /// The rate limit on prompt and generated tokens across the fleet; zero for no limit.
    pub tokens_per_s_limit: u64,
    /// The maximum number of requests in flight across the fleet; zero for no limit.
    pub requests_limit: u32,
    /// The maximum number of open connections per node; zero for no limit.
    pub connections_limit: u32,
}

/// The kind of an upstream.
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
    /// The upstream rejects an order with an outdated fencing number.
    Checked,
    /// The upstream ignores the fencing number.
    Ignored,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The name of the upstream in the platform's instance list.
    pub name: String,
    /// The kind.
    pub kind: UpstreamKind,
    /// The address on which it serves HTTP.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The model that an engine serves; none for other kinds.
    pub model: Option<ModelId>,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// The maximum number of requests in flight; zero for no fixed limit.
    pub requests_limit: u32,
    /// Whether the operator drains it; a drained upstream gets no new requests.
    pub drained: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name in the request path.
    pub name: String,
    /// The upstreams that serve it.
    pub upstreams: Vec<UpstreamId>,
    /// The calls that must not be repeated.
    pub unrepeatable: Vec<CallPattern>,
    /// How long an `Idempotency-Key` is retained.
    pub retained_window_s: u32,
    /// The maximum number of calls in flight per client account that must not be repeated.
    pub in_flight_limit: u32,
    /// The timeout of a call.
    pub timeout_ms: u32,
}

/// A set of calls of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPattern {
    /// The HTTP method in upper case.
    pub method: String,
    /// The prefix of the path below the service, starting with a slash.
    pub path_prefix: String,
}

impl CallPattern {
    /// Returns whether a call matches the method and the path prefix.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path_prefix)
    }
}
