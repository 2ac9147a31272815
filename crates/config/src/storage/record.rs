//! The wire form of one entity.
//!
//! Records refer to other entities by name, since identifiers are local to a process. They are
//! sorted by kind and then by name before they are split into chunks.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Account;
use crate::CallPattern;
use crate::Fencing;
use crate::KeyHash;
use crate::Model;
use crate::Priority;
use crate::Service;
use crate::Upstream;
use crate::UpstreamKind;
use redwingrill_entity::Names;

/// One entity of the desired state.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A priority.
    Priority(PriorityRecord),
    /// A model.
    Model(ModelRecord),
    /// A client account.
    Account(AccountRecord),
    /// An upstream.
    Upstream(UpstreamRecord),
    /// A service.
    Service(ServiceRecord),
}

/// The wire form of [`Priority`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PriorityRecord {
    /// The name.
    pub name: String,
    level: u8,
    first_token_target_ms: u32,
    queue_deadline_ms: u32,
    floor_percent: u8,
}

/// The wire form of [`Model`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ModelRecord {
    /// The name.
    pub name: String,
    weights_version: String,
    parallel_loads_limit: u32,
}

/// The wire form of [`Account`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct AccountRecord {
    name: String,
    key_hashes: Vec<[u8; 32]>,
    priorities: Vec<String>,
    weight: u32,
    tokens_per_s_limit: u64,
    requests_limit: u32,
    connections_limit: u32,
}

/// The wire form of [`Upstream`], with the role that it is commanded to take.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct UpstreamRecord {
    name: String,
    kind: UpstreamKindRecord,
    address: SocketAddr,
    domain: String,
    model: Option<String>,
    /// The role that an engine is commanded to take.
    pub role: Option<String>,
    fencing_checked: bool,
    requests_limit: u32,
    drained: bool,
}

/// The wire form of [`UpstreamKind`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum UpstreamKindRecord {
    /// A model engine.
    Engine,
    /// A KV cache store.
    CacheStore,
    /// An instance of a plain service.
    Service,
}

/// The wire form of [`Service`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceRecord {
    name: String,
    upstreams: Vec<String>,
    unrepeatable: Vec<(String, String)>,
    retained_window_s: u32,
    in_flight_limit: u32,
    timeout_ms: u32,
}

impl Record {
    /// Returns the keyword of the section that describes this entity.
    pub fn keyword(&self) -> &'static str {
        match self {
            Self::Priority(_) => "priority",
            Self::Model(_) => "model",
            Self::Account(_) => "account",
            Self::Upstream(_) => "upstream",
            Self::Service(_) => "service",
        }
    }

    /// Returns the name of the entity.
    pub fn name(&self) -> &str {
        match self {
            Self::Priority(priority) => &priority.name,
            Self::Model(model) => &model.name,
            Self::Account(account) => &account.name,
            Self::Upstream(upstream) => &upstream.name,
            Self::Service(service) => &service.name,
        }
    }
}

impl From<&Priority> for PriorityRecord {
    fn from(priority: &Priority) -> Self {
        Self {
            name: priority.name.clone(),
            level: priority.level,
            first_token_target_ms: priority.first_token_target_ms,
            queue_deadline_ms: priority.queue_deadline_ms,
            floor_percent: priority.floor_percent,
        }
    }
}

impl From<PriorityRecord> for Priority {
    fn from(record: PriorityRecord) -> Self {
        Self {
            name: record.name,
            level: record.level,
            first_token_target_ms: record.first_token_target_ms,
            queue_deadline_ms: record.queue_deadline_ms,
            floor_percent: record.floor_percent,
        }
    }
}

impl From<&Model> for ModelRecord {
    fn from(model: &Model) -> Self {
        Self {
            name: model.name.clone(),
            weights_version: model.weights_version.clone(),
            parallel_loads_limit: model.parallel_loads_limit,
        }
    }
}

impl From<ModelRecord> for Model {
    fn from(record: ModelRecord) -> Self {
        Self {
            name: record.name,
            weights_version: record.weights_version,
            parallel_loads_limit: record.parallel_loads_limit,
        }
    }
}

impl AccountRecord {
    /// Converts an account to its wire form.
    pub fn new(account: &Account, names: &Names) -> Self {
        let priorities = account.priorities.iter();
        Self {
            name: account.name.clone(),
            key_hashes: account.key_hashes.iter().map(|hash| hash.0).collect(),
            priorities: priorities.map(|&id| names.priorities.name(id).to_owned()).collect(),
            weight: account.weight,
            tokens_per_s_limit: account.tokens_per_s_limit,
            requests_limit: account.requests_limit,
            connections_limit: account.connections_limit,
        }
    }

    /// Converts the wire form to an account.
    pub fn into_account(self, names: &mut Names) -> Account {
        Account {
            name: self.name,
            key_hashes: self.key_hashes.into_iter().map(KeyHash).collect(),
            priorities: self.priorities.iter().map(|n| names.priorities.intern(n)).collect(),
            weight: self.weight,
            tokens_per_s_limit: self.tokens_per_s_limit,
            requests_limit: self.requests_limit,
            connections_limit: self.connections_limit,
        }
    }
}

impl UpstreamRecord {
    /// Converts an upstream to its wire form.
    pub fn new(upstream: &Upstream, role: Option<&String>, names: &Names) -> Self {
        Self {
            name: upstream.name.clone(),
            kind: upstream.kind.into(),
            address: upstream.address,
            domain: names.domains.name(upstream.domain).to_owned(),
            model: upstream.model.map(|id| names.models.name(id).to_owned()),
            role: role.cloned(),
            fencing_checked: upstream.fencing == Fencing::Checked,
            requests_limit: upstream.requests_limit,
            drained: upstream.drained,
        }
    }

    /// Converts the wire form to an upstream.
    pub fn into_upstream(self, names: &mut Names) -> Upstream {
        Upstream {
            name: self.name,
            kind: self.kind.into(),
            address: self.address,
            domain: names.domains.intern(&self.domain),
            model: self.model.map(|name| names.models.intern(&name)),
            fencing: if self.fencing_checked { Fencing::Checked } else { Fencing::Ignored },
            requests_limit: self.requests_limit,
            drained: self.drained,
        }
    }
}

impl From<UpstreamKind> for UpstreamKindRecord {
    fn from(kind: UpstreamKind) -> Self {
        match kind {
            UpstreamKind::Engine => Self::Engine,
            UpstreamKind::CacheStore => Self::CacheStore,
            UpstreamKind::Service => Self::Service,
        }
    }
}

impl From<UpstreamKindRecord> for UpstreamKind {
    fn from(kind: UpstreamKindRecord) -> Self {
        match kind {
            UpstreamKindRecord::Engine => Self::Engine,
            UpstreamKindRecord::CacheStore => Self::CacheStore,
            UpstreamKindRecord::Service => Self::Service,
        }
    }
}

impl ServiceRecord {
    /// Converts a service to its wire form.
    pub fn new(service: &Service, names: &Names) -> Self {
        let upstreams = service.upstreams.iter();
        let calls = service.unrepeatable.iter();
        Self {
            name: service.name.clone(),
            upstreams: upstreams.map(|&id| names.upstreams.name(id).to_owned()).collect(),
            unrepeatable: calls.map(|c| (c.method.clone(), c.path_prefix.clone())).collect(),
            retained_window_s: service.retained_window_s,
            in_flight_limit: service.in_flight_limit,
            timeout_ms: service.timeout_ms,
        }
    }

    /// Converts the wire form to a service.
    pub fn into_service(self, names: &mut Names) -> Service {
        let calls = self.unrepeatable.into_iter();
        Service {
            name: self.name,
            upstreams: self.upstreams.iter().map(|n| names.upstreams.intern(n)).collect(),
            unrepeatable: calls
                .map(|(method, path_prefix)| CallPattern { method, path_prefix })
                .collect(),
            retained_window_s: self.retained_window_s,
            in_flight_limit: self.in_flight_limit,
            timeout_ms: self.timeout_ms,
        }
    }
}
