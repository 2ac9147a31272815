//! Creates the components of a node from the settings.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::cluster::PeerChunks;
use crate::configuration::Configuration;
use crate::configuration::ConfigurationOptions;
use crate::configuration::EngineReportHub;
use crate::configuration::HttpEngineCommands;
use crate::configuration::Rollout;
use crate::http::ListenerOptions;
use crate::upstream::EngineClient;
use crate::upstream::EngineTimeouts;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;
use redwingrill_etcd::EtcdStore;
use redwingrill_etcd::HttpInstances;
use redwingrill_etcd::PlatformOptions;
use redwingrill_ledger::layout::LayoutConfig;
use redwingrill_ledger::layout::SingleLayout;
use redwingrill_ledger::task::Ledger;
use redwingrill_ledger::task::LedgerConfig;
use redwingrill_ledger::task::LedgerTask;
use redwingrill_ledger::task::LocalOwner;
use redwingrill_ledger::task::WallClock;
use redwingrill_placement::placer::Policy;
use redwingrill_rollout::RolloutInputs;
use redwingrill_settings::PlacementPolicy;
use redwingrill_settings::Settings;
use redwingrill_transport::Pool;

/// The settings and shared resources from which the components are created.
#[derive(Debug)]
pub(super) struct Wiring<'a> {
    pub settings: &'a Settings,
    pub pool: Pool,
    // Tasks that run for the lifetime of the node.
    pub tasks: TaskTracker,
    // Cancels the tasks that do not end on their own.
    pub stopping: CancellationToken,
}

impl<'a> Wiring<'a> {
    pub fn new(settings: &'a Settings) -> Self {
        Self {
            settings,
            pool: Pool::new(),
            tasks: TaskTracker::new(),
            stopping: CancellationToken::new(),
        }
    }

    /// Starts to follow the configuration in the platform's store.
    pub fn follow(&self, source: PeerChunks, names: Arc<Mutex<Names>>) -> Configuration {
        let options = ConfigurationOptions { names, seed: rand::random() };
        Configuration::start(self.store(), source, options, &self.tasks, self.stopping.clone())
    }

    /// Starts the roll-out of weights and roles to engines.
    pub fn start_rollout(
        &self,
        configuration: watch::Receiver<Arc<Snapshot>>,
        reports: &EngineReportHub,
    ) -> Rollout {
        // Every node uses rank 0. Claims are compare-and-swap operations, so only one node succeeds.
        let rank = watch::channel(0).1;
        let inputs = RolloutInputs { configuration, reports: reports.subscribe(), rank };
        let commands = HttpEngineCommands::new(self.pool.clone());
        let name = &self.settings.node.name;
        Rollout::start(self.store(), commands, inputs, name, &self.tasks, self.stopping.clone())
    }

    /// Creates the client of the platform's instance list.
    pub fn instances(&self) -> HttpInstances {
        let platform = &self.settings.platform;
        let endpoints = match platform.instance_list_endpoints.is_empty() {
            true => platform.endpoints.clone(),
            false => platform.instance_list_endpoints.clone(),
        };
        HttpInstances::new(PlatformOptions::new(endpoints), self.pool.clone())
    }

    /// Starts the ledger, which records orders in the platform's store.
    pub fn ledger(&self) -> Ledger {
        let config = LedgerConfig::default();
        let options = PlatformOptions {
            call_timeout: Duration::from_millis(config.call_timeout_ms),
            ..PlatformOptions::new(self.settings.platform.endpoints.clone())
        };
        let store = EtcdStore::new(options, self.pool.clone());
        let layout = LayoutConfig::default();
        let records = SingleLayout::new(layout);
        let clock = WallClock::system();
        let (ledger, task) =
            LedgerTask::new(store, records, LocalOwner, layout.shards, config, clock);
        self.tasks.spawn(task.run());
        ledger
    }

    /// Creates the engine client.
    pub fn engines(&self) -> EngineClient {
        let streams = &self.settings.streams;
        let timeouts = EngineTimeouts {
            connect: Duration::from_millis(streams.connect_timeout_ms),
            first_token: Duration::from_millis(streams.first_token_timeout_ms),
            token: Duration::from_millis(streams.token_timeout_ms),
        };
        EngineClient::new(self.pool.clone(), timeouts)
    }

    /// Returns the placement policy.
    pub fn policy(&self) -> Policy {
        match self.settings.placement_policy {
            PlacementPolicy::Random => Policy::Random,
            PlacementPolicy::LeastLoaded => Policy::LeastLoaded,
            PlacementPolicy::Affinity => Policy::Affinity,
            PlacementPolicy::Redwingrill => Policy::Redwingrill,
        }
    }

    /// Returns the options of a listener with at most `connections_limit` connections.
    pub fn listener_options(&self, connections_limit: usize) -> ListenerOptions {
        let limits = &self.settings.limits;
        ListenerOptions {
            connections_limit,
            header_limit_bytes: limits.header_bytes,
            header_timeout: Duration::from_millis(limits.request_timeout_ms),
        }
    }

    fn store(&self) -> EtcdStore {
        let platform = &self.settings.platform;
        let mut options = PlatformOptions::new(platform.endpoints.clone());
        options.call_timeout = Duration::from_millis(platform.call_timeout_ms);
        EtcdStore::new(options, self.pool.clone())
    }
}
