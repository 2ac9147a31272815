//! What a node is made with.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use redwingrill_routing::HeadDialect;
use redwingrill_scheduling::budget::BudgetSpec;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The name, unique among nodes.
    pub name: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The rate of its network link in megabits a second.
    pub link_mbps: u64,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness_address: SocketAddr,
    /// Where peers ask.
    pub peer_address: Option<SocketAddr>,
    /// Where peers send datagrams.
    pub gossip_address: Option<SocketAddr>,
    /// Where metrics and the state dump are served.
    pub metrics_address: Option<SocketAddr>,
    /// Peers to ask before any member is known.
    pub seeds: Vec<SocketAddr>,
    /// The bound on repeated sends.
    pub retry_budget: BudgetSpec,
    /// How long after its naming a version may be answered with older weights.
    pub stale_version_limit: Duration,
    /// How long the lease of the roll-out's holder lasts.
    pub rollout_lease: Duration,
    /// How long a stop may take, from the signal to the exit.
    pub stop_timeout: Duration,
}

/// The outside of a node.
#[derive(Clone)]
pub struct NodePorts<S, C, D> {
    /// The platform's store.
    pub store: S,
    /// The control interface of engines.
    pub control: C,
    /// Reads the items of the store.
    pub item_codec: Arc<D>,
    /// Reads and writes heads.
    pub head_codec: Arc<dyn HeadDialect>,
}
