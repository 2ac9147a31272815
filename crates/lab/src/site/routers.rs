//! The routers of a site, as nodes in this process.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use tokio::time::Instant;

use super::PeerNetwork;
use super::Site;
use super::files::peer_settings_text;
use redwingrill::node::Node;
use redwingrill::node::Serving;
use redwingrill::node::StartError;
use redwingrill_config::Faults;
use redwingrill_config::SourceFile;

const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long routers that stop wait for calls that are on their way to them.
const DRAIN_NOTICE_MS: u64 = 5_000;
const FORMED_POLL: Duration = Duration::from_millis(50);
const READY_POLL: Duration = Duration::from_millis(5);
/// Routers that all others take for seeds.
const SEEDS: usize = 3;

/// Why routers are not ready.
#[derive(Debug, Snafu)]
pub enum RoutersError {
    /// The settings have faults.
    #[snafu(display("settings: {faults}"))]
    Settings {
        /// The faults.
        faults: Faults,
    },
    /// A node did not start.
    #[snafu(display("{source}"))]
    Start {
        /// The cause.
        source: StartError,
    },
    /// A node got no configuration in time.
    #[snafu(display("a router has no configuration after {} s", READY_TIMEOUT.as_secs()))]
    NotConfigured,
    /// The routers did not find each other in time.
    #[snafu(display("the routers did not find each other in {} s", READY_TIMEOUT.as_secs()))]
    NotFormed,
}

/// The running routers of a site.
#[derive(Debug)]
pub struct Routers {
    nodes: Vec<Node<Serving>>,
}

impl Routers {
    /// Starts all routers of a site, with numbers from `first` on. `extra` holds further sections
    /// of their settings.
    pub async fn start(
        site: &Site,
        platform: SocketAddr,
        peers: &PeerNetwork,
        first: usize,
        extra: &str,
    ) -> Result<Self, RoutersError> {
        let mut nodes = Vec::with_capacity(site.nodes);
        let sections = peers.sections(first..first + SEEDS.min(site.nodes)) + extra;
        for number in first..first + site.nodes {
            let name = format!("router-{}", number + 1);
            let (domain, listen) = (site.domain_of(number), peers.address(number));
            let text =
                peer_settings_text(&name, domain, platform, listen, DRAIN_NOTICE_MS, &sections);
            let source = SourceFile { name, text };
            let settings = redwingrill_settings::parse(&source)
                .map_err(|faults| RoutersError::Settings { faults })?;
            let node = Node::new(settings).serve().await;
            nodes.push(node.map_err(|source| RoutersError::Start { source })?);
        }
        Ok(Self { nodes })
    }

    /// Waits until every router has a configuration in force.
    pub async fn configured(&self) -> Result<(), RoutersError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.nodes.iter().all(|node| node.inspector().is_configured()) {
            if Instant::now() >= deadline {
                return Err(RoutersError::NotConfigured);
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    /// Waits until every router holds all of them for live.
    pub async fn formed(&self) -> Result<(), RoutersError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_formed().await {
            if Instant::now() >= deadline {
                return Err(RoutersError::NotFormed);
            }
            tokio::time::sleep(FORMED_POLL).await;
        }
        Ok(())
    }

    async fn is_formed(&self) -> bool {
        for node in &self.nodes {
            let dump = node.inspector().dump().await;
            let Some(members) = dump["cluster"]["cluster"]["members"].as_array() else {
                return false;
            };
            let live = members.iter().filter(|member| member["state"] == "live").count();
            if live < self.nodes.len() {
                return false;
            }
        }
        true
    }

    /// Returns the addresses for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::address).collect()
    }

    /// Returns the nodes.
    pub fn nodes(&self) -> &[Node<Serving>] {
        &self.nodes
    }

    /// Stops all routers gracefully, all at the same time, when no call is on its way to them.
    pub async fn stop(self) {
        let calls = vec![0; self.nodes.len()];
        self.stop_after(&calls).await;
    }

    /// Stops all routers gracefully, all at the same time. Each keeps accepting until it has
    /// received as many requests as `calls` says for it, at most for the drain notice.
    pub async fn stop_after(self, calls: &[u64]) {
        let stops = self.nodes.into_iter().zip(calls).map(|(node, &calls)| async move {
            let mut received = node.inspector().received_requests();
            let arrival = async move {
                // A node that counts no more takes no more.
                let _ended = received.wait_for(|&count| count >= calls).await.is_err();
            };
            let draining = node.drain(arrival).await;
            draining.finish(std::future::pending()).await;
        });
        futures::future::join_all(stops).await;
    }
}
