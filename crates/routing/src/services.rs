//! Services: groups of upstreams that answer alike.

use std::net::SocketAddr;

/// What the model engines of a service can do.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct EngineSpec {
    /// Requests that one engine works on at once.
    pub slots: u32,
    /// Room for tokens of running requests and cached parts.
    pub cache_tokens: u64,
    /// Callers that may wait for cache events at once.
    pub event_listeners: u32,
    /// The models that the engines hold.
    pub models: Vec<String>,
}

/// A store of cached prompt parts, beside the engines.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CacheStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Callers that may wait for cache events at once.
    pub event_listeners: u32,
}

/// One service.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// The name, unique in a configuration.
    pub name: String,
    /// Connections that one upstream accepts from all callers together.
    pub connections_limit: u32,
    /// Present if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// Present if the service is a store of cached prompt parts.
    pub cache_store: Option<CacheStore>,
}
