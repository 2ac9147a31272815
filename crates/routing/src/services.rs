//! Services: groups of interchangeable upstreams.

use std::net::SocketAddr;

/// The capacity and models of the engines of a service.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct EngineSpec {
    /// Requests that one engine can run at once.
    pub slots: u32,
    /// The memory of one engine, in tokens of running requests and cached parts.
    pub cache_tokens: u64,
    /// The maximum number of concurrent listeners for cache events.
    pub event_listeners: u32,
    /// The models that the engines serve.
    pub models: Vec<String>,
}

/// A store of cached prompt parts that is separate from the engines.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CacheStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// The maximum number of concurrent listeners for cache events.
    pub event_listeners: u32,
}

/// One service.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// The name, unique in a configuration.
    pub name: String,
    /// The path at which an upstream answers health checks.
    pub health_path: String,
    /// Connections that one upstream accepts from all nodes together.
    pub connections_limit: u32,
    /// Set if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// Set if the service is a store of cached prompt parts.
    pub cache_store: Option<CacheStore>,
}
