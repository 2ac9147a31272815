//! The options and the external interfaces of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwingrill_admission::limits::fleet::QuotaOptions;
use redwingrill_routing::HeadCodec;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;

/// The options of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The name, unique among nodes.
    pub name: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The rate of its network link in megabits per second.
    pub link_mbps: u64,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for readiness checks of the load balancer.
    pub readiness_address: SocketAddr,
    /// The TCP address for calls from peers.
    pub peer_address: Option<SocketAddr>,
    /// The UDP address for datagrams from peers.
    pub gossip_address: Option<SocketAddr>,
    /// The address for metrics and the state dump.
    pub metrics_address: Option<SocketAddr>,
    /// Peers to poll before any member is known.
    pub seeds: Vec<SocketAddr>,
    /// How long the store keeps the entry of an upstream that is gone.
    pub upstream_lapse: Duration,
    /// Whether the whole fleet starts for the first time, so that no stream is open.
    pub is_first_start: bool,
    /// The retry budget.
    pub retry_budget: RetryBudgetSpec,
    /// How long after a target version is set requests may still be served with older weights.
    pub stale_version_limit: Duration,
    /// Whether upstreams get no more requests at once than they are found to handle well.
    pub limits_concurrency: bool,
    /// The duration of the lease of the roll-out's leader.
    pub rollout_lease: Duration,
    /// The tolerances of the quotas of client accounts.
    pub quotas: QuotaOptions,
    /// How long a stop may take, from the signal to the exit of the process.
    pub stop_timeout: Duration,
}

/// The external interfaces of a node.
#[derive(Clone)]
pub struct NodePorts<S, C, D> {
    /// The platform's store.
    pub store: S,
    /// The control interface of engines.
    pub control: C,
    /// Decodes the items of the store.
    pub item_codec: Arc<D>,
    /// Decodes and encodes request and response heads.
    pub head_codec: Arc<dyn HeadCodec>,
}
