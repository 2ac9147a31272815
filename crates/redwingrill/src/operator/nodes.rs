//! Polls nodes for the generation that they have in force.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures::stream;
use futures::stream::StreamExt;
use serde::Serialize;
use tokio::time::Instant;

use super::OperatorError;
use super::admin::NodeAdmin;
use super::admin::NodeStatus;
use super::command::NodeSelection;
use redwingrill_config::DesiredState;
use redwingrill_ports::Instance;
use redwingrill_ports::InstanceList;

/// Maximum number of concurrent node polls.
const CONCURRENT_POLLS: usize = 32;

/// Pause between two rounds of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The result of polling one node.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct NodeReport {
    /// The administration address.
    pub address: SocketAddr,
    /// The status in the response.
    #[serde(flatten)]
    pub status: Option<NodeStatus>,
    /// Why the poll failed.
    pub failure: Option<String>,
}

impl fmt::Display for NodeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.status, &self.failure) {
            (Some(status), _) => write!(
                f,
                "{} {} {} generation {}",
                self.address, status.name, status.phase, status.generation
            ),
            (None, failure) => {
                write!(f, "{} unreachable: {}", self.address, failure.as_deref().unwrap_or(""))
            }
        }
    }
}

impl NodeReport {
    /// Returns the generation in force; zero if the poll failed.
    pub fn generation(&self) -> u64 {
        self.status.as_ref().map_or(0, |status| status.generation)
    }
}

/// Returns the administration addresses of the selected nodes.
///
/// The instance list also has upstreams; those in the configuration are excluded.
pub async fn select<L: InstanceList>(
    selection: &NodeSelection,
    instances: &L,
    state: &DesiredState,
) -> Result<Vec<SocketAddr>, OperatorError> {
    let Some(port) = selection.admin_port else { return Ok(selection.addresses.clone()) };
    let listed = instances.list().await;
    let listed =
        listed.map_err(|error| OperatorError::InstanceList { reason: error.to_string() })?;
    let upstreams: HashSet<&str> = state.upstreams.values().map(|u| u.name.as_str()).collect();
    let is_node = |instance: &&Instance| !upstreams.contains(instance.name.as_str());
    let nodes = listed.iter().filter(is_node);
    let found = nodes.map(|node| SocketAddr::new(node.address.ip(), port));
    Ok(selection.addresses.iter().copied().chain(found).collect())
}

/// Polls each node once.
pub async fn poll<A: NodeAdmin>(admin: &A, nodes: &[SocketAddr]) -> Vec<NodeReport> {
    let polls = nodes.iter().map(|&address| async move {
        match admin.status(address).await {
            Ok(status) => NodeReport { address, status: Some(status), failure: None },
            Err(reason) => NodeReport { address, status: None, failure: Some(reason) },
        }
    });
    stream::iter(polls).buffered(CONCURRENT_POLLS).collect().await
}

/// Polls nodes until all have the generation in force or the wait time has passed.
pub async fn await_generation<A: NodeAdmin>(
    admin: &A,
    nodes: &[SocketAddr],
    generation: u64,
    wait: Duration,
) -> Vec<NodeReport> {
    let deadline = Instant::now() + wait;
    let mut reports = poll(admin, nodes).await;
    while Instant::now() < deadline && reports.iter().any(|r| r.generation() < generation) {
        tokio::time::sleep(POLL_INTERVAL).await;
        let behind: Vec<usize> =
            (0..reports.len()).filter(|&at| reports[at].generation() < generation).collect();
        let addresses: Vec<SocketAddr> = behind.iter().map(|&at| reports[at].address).collect();
        for (at, report) in behind.into_iter().zip(poll(admin, &addresses).await) {
            reports[at] = report;
        }
    }
    reports
}
