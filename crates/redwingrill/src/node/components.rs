//! The components of a node and their construction.
//!
//! All addresses are bound before the first task is spawned, so a node that fails to start leaves
//! no task running.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Inspector;
use super::Phase;
use super::StartError;
use super::control::Control;
use super::wiring::Wiring;
use crate::admin::AdminRoutes;
use crate::cluster::BoundCluster;
use crate::completions::Completions;
use crate::http::AccountConnections;
use crate::http::BoundListener;
use crate::http::Listener;
use crate::http::OpenRequests;
use crate::http::Routes;
use crate::services::Services;
use crate::telemetry::Metrics;
use redwingrill_config::Snapshot;
use redwingrill_settings::Settings;
use redwingrill_transport::Pool;

/// Maximum number of open connections on the administration address.
const ADMIN_CONNECTIONS_LIMIT: usize = 64;

/// The running components of a node that serves.
#[derive(Debug)]
pub(super) struct Components {
    pub callers: Listener,
    pub admin: Listener,
    pub phase: watch::Sender<Phase>,
    pub inspector: Inspector,
    // Tasks that belong to callers' requests, such as stream relays.
    pub requests: TaskTracker,
    // Tasks that run for the lifetime of the node.
    pub services: TaskTracker,
    // Cancels the tasks that do not end on their own.
    pub stopping: CancellationToken,
    pub pool: Pool,
}

impl Components {
    /// Binds the addresses and spawns the tasks.
    pub async fn start(
        settings: &Settings,
        fixed_configuration: Option<watch::Receiver<Arc<Snapshot>>>,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new(settings.metrics.statsd, &settings.node.name)
            .map_err(|source| StartError::Metrics { source })?;
        let callers = bind(settings.node.listen).await?;
        let admin = bind(settings.node.admin_listen).await?;
        let peers = match fixed_configuration {
            Some(_) => None,
            None => BoundCluster::bind(settings).map_err(|source| StartError::Peers { source })?,
        };
        let wiring = Wiring::new(settings);
        let control = Control::start(&wiring, fixed_configuration, peers);
        let ledger = wiring.ledger();
        let requests = TaskTracker::new();
        let connections = AccountConnections::default();
        let open = OpenRequests::default();
        let (phase, phase_reader) = watch::channel(Phase::Serving);
        let service_calls = Services::new(
            wiring.pool.clone(),
            control.dispatcher.leaving(),
            ledger.clone(),
            requests.clone(),
        );
        let routes = Routes {
            configuration: control.configuration.clone(),
            phase: phase_reader.clone(),
            limits: Arc::new(settings.limits.clone()),
            completions: Completions {
                dispatcher: control.dispatcher.clone(),
                engines: wiring.engines(),
                tasks: requests.clone(),
                metrics: metrics.clone(),
            },
            services: service_calls.clone(),
            open: open.clone(),
            metrics,
        };
        let inspector = Inspector {
            name: settings.node.name.clone(),
            phase: phase_reader,
            configuration: control.configuration,
            followed: control.followed,
            cluster: control.cluster,
            rollout: control.rollout,
            dispatcher: control.dispatcher,
            services: service_calls,
            connections: connections.clone(),
            open,
            pool: wiring.pool.clone(),
            ledger,
            drain: CancellationToken::new(),
        };
        let options = wiring.listener_options(settings.limits.connections);
        let callers = callers.accept(options, connections, routes);
        let options = wiring.listener_options(ADMIN_CONNECTIONS_LIMIT);
        let admin_routes = AdminRoutes { inspector: inspector.clone() };
        let admin = admin.accept(options, AccountConnections::default(), admin_routes);
        let Wiring { pool, tasks: services, stopping, .. } = wiring;
        Ok(Self { callers, admin, phase, inspector, requests, services, stopping, pool })
    }
}

async fn bind(address: SocketAddr) -> Result<BoundListener, StartError> {
    let bound = BoundListener::bind(address).await;
    bound.map_err(|source| StartError::Bind { address, source })
}
