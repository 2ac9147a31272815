//! The parts of a node and how they are joined.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Inspector;
use super::Phase;
use super::StartError;
use super::wiring::engine_timeouts;
use super::wiring::follow;
use super::wiring::instances;
use super::wiring::ledger;
use super::wiring::listener_options;
use super::wiring::policy;
use super::wiring::roll_out;
use crate::admin::AdminRoutes;
use crate::cluster::Bound;
use crate::cluster::ClusterParts;
use crate::cluster::PeerChunks;
use crate::completions::Completions;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchOptions;
use crate::http::AccountConnections;
use crate::http::Listener;
use crate::http::ListenerOptions;
use crate::http::OpenRequests;
use crate::http::Routes;
use crate::services::Services;
use crate::telemetry::Metrics;
use crate::upstream::EngineClient;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;
use redwingrill_settings::Settings;
use redwingrill_transport::Pool;

/// Open connections on the administration address.
const ADMIN_CONNECTIONS_LIMIT: usize = 64;

/// Everything that runs while a node serves.
#[derive(Debug)]
pub(super) struct Parts {
    pub callers: Listener,
    pub admin: Listener,
    pub phase: watch::Sender<Phase>,
    pub inspector: Inspector,
    // Relays and other work that belongs to callers' requests.
    pub requests: TaskTracker,
    // Tasks that live as long as the node.
    pub services: TaskTracker,
    // Ends the tasks that do not end by themselves.
    pub stopping: CancellationToken,
    pub pool: Pool,
}

impl Parts {
    /// Binds the addresses and spawns the tasks.
    pub async fn start(
        settings: &Settings,
        configuration: Option<watch::Receiver<Arc<Snapshot>>>,
    ) -> Result<Self, StartError> {
        let metrics = Metrics::new(settings.metrics.statsd, &settings.node.name)
            .map_err(|source| StartError::Metrics { source })?;
        let pool = Pool::new();
        let services = TaskTracker::new();
        let requests = TaskTracker::new();
        let (phase, phase_reader) = watch::channel(Phase::Serving);
        let stopping = CancellationToken::new();
        let bound = match configuration {
            Some(_) => None,
            None => Bound::new(settings).map_err(|source| StartError::Peers { source })?,
        };
        let names: Arc<Mutex<Names>> = Arc::default();
        let followed = match configuration {
            Some(_) => None,
            None => {
                let source = bound.as_ref().map_or_else(PeerChunks::none, Bound::chunks);
                Some(follow(settings, &pool, source, names.clone(), &services, &stopping))
            }
        };
        let configuration = match (configuration, &followed) {
            (Some(given), _) => given,
            (None, Some(followed)) => followed.snapshots(),
            (None, None) => watch::channel(Arc::default()).1,
        };
        let options = DispatchOptions { policy: policy(settings), seed: rand::random() };
        let (dispatcher, dispatch) = Dispatch::new(options, configuration.clone());
        let asks_all_engines = Arc::new(AtomicBool::new(true));
        services.spawn(dispatch.load_poll(pool.clone(), asks_all_engines.clone()).run());
        let rollout = followed.as_ref().map(|followed| {
            let facts = dispatch.facts();
            roll_out(settings, &pool, followed.snapshots(), &facts, &services, &stopping)
        });
        services.spawn(dispatch.run());
        let cluster = bound.zip(followed.as_ref()).map(|(bound, followed)| {
            let parts = ClusterParts {
                configuration: configuration.clone(),
                names,
                cache: followed.cache(),
                dispatcher: dispatcher.clone(),
                pool: pool.clone(),
                instances: instances(settings, &pool),
                asks_all_engines,
            };
            bound.run(parts, &services, stopping.clone())
        });
        let (ledger, ledger_task) = ledger(settings, &pool);
        services.spawn(ledger_task.run());
        let connections = AccountConnections::default();
        let open = OpenRequests::default();
        let inspector = Inspector {
            name: settings.node.name.clone(),
            phase: phase_reader.clone(),
            configuration: configuration.clone(),
            followed,
            cluster,
            rollout,
            dispatcher: dispatcher.clone(),
            connections: connections.clone(),
            open: open.clone(),
            pool: pool.clone(),
            ledger: ledger.clone(),
            drain: CancellationToken::new(),
        };
        let leaving = dispatcher.leaving();
        let routes = Routes {
            configuration,
            phase: phase_reader,
            limits: Arc::new(settings.limits.clone()),
            completions: Completions {
                dispatcher,
                engines: EngineClient::new(pool.clone(), engine_timeouts(settings)),
                tasks: requests.clone(),
                metrics: metrics.clone(),
            },
            services: Services::new(pool.clone(), leaving, ledger, requests.clone()),
            open,
            metrics,
        };
        let bind = |address| move |source| StartError::Bind { address, source };
        let node = &settings.node;
        let options = listener_options(settings);
        let callers = Listener::start(node.listen, options.clone(), connections, routes)
            .await
            .map_err(bind(node.listen))?;
        let options = ListenerOptions { connections_limit: ADMIN_CONNECTIONS_LIMIT, ..options };
        let admin_routes = AdminRoutes { inspector: inspector.clone() };
        let admin = Listener::start(
            node.admin_listen,
            options,
            AccountConnections::default(),
            admin_routes,
        )
        .await
        .map_err(bind(node.admin_listen))?;
        Ok(Self { callers, admin, phase, inspector, requests, services, stopping, pool })
    }
}
