//! Read access to the state of a node, and the request to drain it.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Phase;
use crate::cluster::ClusterHandle;
use crate::configuration::Configuration;
use crate::configuration::Rollout;
use crate::dispatch::Dispatcher;
use crate::http::AccountConnections;
use crate::http::OpenRequests;
use crate::services::Services;
use redwingrill_config::Snapshot;
use redwingrill_ledger::task::Ledger;
use redwingrill_transport::Pool;

/// Reads the state of a node. Clones refer to the same node.
#[derive(Clone, Debug)]
pub struct Inspector {
    pub(super) name: String,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) configuration: watch::Receiver<Arc<Snapshot>>,
    // None with a fixed configuration.
    pub(super) followed: Option<Configuration>,
    // None without peers.
    pub(super) cluster: Option<ClusterHandle>,
    // None with a fixed configuration.
    pub(super) rollout: Option<Rollout>,
    pub(super) dispatcher: Dispatcher,
    pub(super) services: Services,
    pub(super) connections: AccountConnections,
    pub(super) open: OpenRequests,
    pub(super) pool: Pool,
    pub(super) ledger: Ledger,
    pub(super) drain: CancellationToken,
}

impl Inspector {
    /// Returns the lifecycle phase of the node.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.configuration.borrow().generation.0 > 0
    }

    /// Returns the number of callers' requests that arrived since the node's start.
    pub fn received_requests(&self) -> watch::Receiver<u64> {
        self.open.received()
    }

    /// Requests a graceful shutdown.
    pub fn drain(&self) {
        self.drain.cancel();
    }

    /// Returns the name, phase and generation of the node.
    pub fn status(&self) -> Value {
        json!({
            "name": self.name,
            "phase": self.phase().name(),
            "generation": self.configuration.borrow().generation.0,
        })
    }

    async fn dump_cluster(&self) -> Option<Value> {
        self.cluster.as_ref()?.dump().await
    }

    /// Announces to the peers that this node is about to stop.
    pub(super) async fn leave(&self) {
        if let Some(cluster) = &self.cluster {
            cluster.leave().await;
        }
    }

    /// Returns the full state for the state dump.
    pub async fn dump(&self) -> Value {
        let snapshot = self.configuration.borrow().clone();
        let account_name = |id| snapshot.state.accounts.get(id).map(|a| a.name.clone());
        let connections = self.connections.counts();
        let connections = connections
            .into_iter()
            .map(|(id, open)| json!({"account": account_name(id), "open": open}));
        let pool = self.pool.state().into_iter().map(|state| {
            json!({
                "address": state.address.to_string(),
                "idle": state.idle,
                "condemned": state.discarded,
            })
        });
        json!({
            "status": self.status(),
            "configuration": self.followed.as_ref().map(Configuration::dump),
            "cluster": self.dump_cluster().await,
            "rollout": self.rollout.as_ref().map(Rollout::dump),
            "dispatch": self.dispatcher.dump().await,
            "ledger": self.ledger.state().await,
            "open_requests": self.open.count(),
            "account_connections": connections.collect::<Vec<_>>(),
            "upstream_connections": pool.collect::<Vec<_>>(),
        })
    }
}
