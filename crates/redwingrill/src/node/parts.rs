//! The parts of a node and how they are joined.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Inspector;
use super::Phase;
use super::StartError;
use crate::admin::AdminRoutes;
use crate::completions::Completions;
use crate::configuration::Configuration;
use crate::configuration::ConfigurationOptions;
use crate::dispatch::Dispatch;
use crate::http::AccountConnections;
use crate::http::Listener;
use crate::http::ListenerOptions;
use crate::http::Routes;
use crate::services::Services;
use crate::telemetry::Metrics;
use crate::upstream::EngineClient;
use crate::upstream::EngineTimeouts;
use redwingrill_config::NoPeers;
use redwingrill_config::Snapshot;
use redwingrill_ledger::layout::LayoutConfig;
use redwingrill_ledger::layout::SingleLayout;
use redwingrill_ledger::task::Ledger;
use redwingrill_ledger::task::LedgerConfig;
use redwingrill_ledger::task::LedgerTask;
use redwingrill_ledger::task::NoHomes;
use redwingrill_ledger::task::WallClock;
use redwingrill_platform::EtcdStore;
use redwingrill_platform::PlatformOptions;
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
        let followed = match configuration {
            Some(_) => None,
            None => Some(follow(settings, &pool, &services, &stopping)),
        };
        let configuration = match (configuration, &followed) {
            (Some(given), _) => given,
            (None, Some(followed)) => followed.snapshots(),
            (None, None) => watch::channel(Arc::default()).1,
        };
        let (dispatcher, dispatch) = Dispatch::new();
        services.spawn(dispatch.run());
        let (ledger, ledger_task) = ledger(settings, &pool);
        services.spawn(ledger_task.run());
        let connections = AccountConnections::default();
        let inspector = Inspector {
            name: settings.node.name.clone(),
            phase: phase_reader.clone(),
            configuration: configuration.clone(),
            followed,
            dispatcher: dispatcher.clone(),
            connections: connections.clone(),
            pool: pool.clone(),
            ledger: ledger.clone(),
            drain: CancellationToken::new(),
        };
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
            services: Services::new(pool.clone(), ledger, requests.clone()),
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

/// Begins to follow the configuration in the platform's store.
fn follow(
    settings: &Settings,
    pool: &Pool,
    tasks: &TaskTracker,
    stopping: &CancellationToken,
) -> Configuration {
    let mut options = PlatformOptions::new(settings.platform.endpoints.clone());
    options.call_timeout = Duration::from_millis(settings.platform.call_timeout_ms);
    let store = EtcdStore::new(options, pool.clone());
    let options = ConfigurationOptions { names: Arc::default(), seed: rand::random() };
    Configuration::start(store, NoPeers, options, tasks, stopping.clone())
}

fn listener_options(settings: &Settings) -> ListenerOptions {
    ListenerOptions {
        connections_limit: settings.limits.connections,
        header_limit_bytes: settings.limits.header_bytes,
        header_timeout: Duration::from_millis(settings.limits.request_timeout_ms),
    }
}

/// Makes the task that records orders in the platform's store.
fn ledger(
    settings: &Settings,
    pool: &Pool,
) -> (Ledger, LedgerTask<EtcdStore, SingleLayout, NoHomes>) {
    let config = LedgerConfig::default();
    let options = PlatformOptions {
        call_timeout: Duration::from_millis(config.call_timeout_ms),
        ..PlatformOptions::new(settings.platform.endpoints.clone())
    };
    let store = EtcdStore::new(options, pool.clone());
    let layout = LayoutConfig::default();
    let records = SingleLayout::new(layout);
    LedgerTask::new(store, records, NoHomes, layout.shards, config, WallClock::system())
}

fn engine_timeouts(settings: &Settings) -> EngineTimeouts {
    EngineTimeouts {
        connect: Duration::from_millis(settings.streams.connect_timeout_ms),
        first_token: Duration::from_millis(settings.streams.first_token_timeout_ms),
        token: Duration::from_millis(settings.streams.token_timeout_ms),
    }
}
