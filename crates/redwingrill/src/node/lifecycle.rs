//! The lifecycle of a node.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::timeout;

use super::Inspector;
use super::components::Components;
use crate::cluster::BindError;
use redwingrill_config::Snapshot;
use redwingrill_settings::Settings;

/// Time that a stopping node has to record the outcomes of its orders.
const LEDGER_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The lifecycle phase, as reported in status and logs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// The node accepts new requests.
    Serving,
    /// The node is shutting down and completes its open requests.
    Draining,
}

impl Phase {
    /// Returns the name used in status and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }
}

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The peer endpoint failed to start.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: BindError,
    },
    /// Metrics could not be set up.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// The cause.
        source: io::Error,
    },
}

/// The result of draining a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DrainOutcome {
    /// All open requests ended normally.
    Complete,
    /// Requests were aborted because the deadline passed or the operator forced the shutdown.
    Cut {
        /// The number of aborted requests.
        requests: usize,
    },
}

/// State of a node that does not listen yet.
#[derive(Debug)]
pub struct Starting {
    // A fixed configuration, for tests and experiments without a platform.
    configuration: Option<watch::Receiver<Arc<Snapshot>>>,
}

/// State of a node that serves requests.
#[derive(Debug)]
pub struct Serving {
    components: Components,
}

/// State of a node that completes its open requests.
#[derive(Debug)]
pub struct Draining {
    components: Components,
}

/// A node in one lifecycle state.
#[derive(Debug)]
pub struct Node<S> {
    settings: Arc<Settings>,
    state: S,
}

impl Node<Starting> {
    /// Creates a node that follows the configuration in the platform's store.
    pub fn new(settings: Settings) -> Self {
        Self { settings: Arc::new(settings), state: Starting { configuration: None } }
    }

    /// Creates a node with a configuration from the caller instead of the store.
    pub fn with_configuration(
        settings: Settings,
        configuration: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let state = Starting { configuration: Some(configuration) };
        Self { settings: Arc::new(settings), state }
    }

    /// Binds the addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn serve(self) -> Result<Node<Serving>, StartError> {
        let components = Components::start(&self.settings, self.state.configuration).await?;
        info!(
            "event=serving node={} listen={} admin={}",
            self.settings.node.name,
            components.callers.address(),
            components.admin.address(),
        );
        Ok(Node { settings: self.settings, state: Serving { components } })
    }
}

impl Node<Serving> {
    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.state.components.callers.address()
    }

    /// Returns the address for administration.
    pub fn admin_address(&self) -> SocketAddr {
        self.state.components.admin.address()
    }

    /// Returns the inspector, which reads the node's state.
    pub fn inspector(&self) -> &Inspector {
        &self.state.components.inspector
    }

    /// Waits until an operator requests a drain.
    pub async fn drain_requested(&self) {
        self.state.components.inspector.drain.cancelled().await;
    }

    /// Reports the node as not ready, and keeps accepting connections for the drain notice period
    /// or until `interrupt` completes, so that the load balancer can notice.
    pub async fn drain(self, interrupt: impl Future<Output = ()>) -> Node<Draining> {
        info!("event=draining node={}", self.settings.node.name);
        self.state.components.phase.send_replace(Phase::Draining);
        self.state.components.inspector.leave().await;
        let notice = Duration::from_millis(self.settings.node.drain_notice_ms);
        tokio::select! {
            () = tokio::time::sleep(notice) => {}
            () = interrupt => {}
        }
        self.state.components.callers.stop_accepting();
        Node { settings: self.settings, state: Draining { components: self.state.components } }
    }
}

impl Node<Draining> {
    /// Waits for open requests until the drain deadline or until `interrupt` completes, aborts the
    /// remaining ones, and joins every task.
    pub async fn finish(self, interrupt: impl Future<Output = ()>) -> DrainOutcome {
        let components = self.state.components;
        let deadline = Duration::from_millis(self.settings.node.drain_deadline_ms);
        let drained = timeout(deadline, components.callers.join());
        let completed = tokio::select! {
            completed = drained => completed.is_ok(),
            () = interrupt => false,
        };
        if completed {
            Self::join(components).await;
            info!("event=ended node={} complete=true", self.settings.node.name);
            return DrainOutcome::Complete;
        }
        let cut = components.inspector.open.list();
        let (node, requests) = (&self.settings.node.name, cut.len());
        warn!("event=drain_cut node={node} requests={requests}");
        for (request_id, call) in cut {
            warn!("event=request_cut request_id={request_id} call={call}");
        }
        components.callers.abort();
        components.callers.join().await;
        Self::join(components).await;
        info!("event=ended node={node} complete=false");
        DrainOutcome::Cut { requests }
    }

    async fn join(components: Components) {
        components.requests.close();
        components.requests.wait().await;
        components.inspector.ledger.close(LEDGER_CLOSE_TIMEOUT).await;
        components.admin.abort();
        components.admin.join().await;
        let Components { callers, admin, inspector, services, stopping, pool, .. } = components;
        stopping.cancel();
        // The dispatch task ends when its last handle is dropped.
        drop((callers, admin, inspector));
        services.close();
        services.wait().await;
        pool.close().await;
    }
}
