//! How the settings become the options of each part.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::cluster::PeerChunks;
use crate::configuration::Configuration;
use crate::configuration::ConfigurationOptions;
use crate::configuration::EngineFactsHub;
use crate::configuration::HttpEngineOrders;
use crate::configuration::Rollout;
use crate::http::ListenerOptions;
use crate::upstream::EngineTimeouts;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;
use redwingrill_ledger::layout::LayoutConfig;
use redwingrill_ledger::layout::SingleLayout;
use redwingrill_ledger::task::Ledger;
use redwingrill_ledger::task::LedgerConfig;
use redwingrill_ledger::task::LedgerTask;
use redwingrill_ledger::task::NoHomes;
use redwingrill_ledger::task::WallClock;
use redwingrill_placement::placer::Policy;
use redwingrill_platform::EtcdStore;
use redwingrill_platform::HttpInstances;
use redwingrill_platform::PlatformOptions;
use redwingrill_rollout::RolloutInputs;
use redwingrill_settings::PlacementPolicy;
use redwingrill_settings::Settings;
use redwingrill_transport::Pool;

/// Begins to follow the configuration in the platform's store and at peers.
pub(super) fn follow(
    settings: &Settings,
    pool: &Pool,
    source: PeerChunks,
    names: Arc<Mutex<Names>>,
    tasks: &TaskTracker,
    stopping: &CancellationToken,
) -> Configuration {
    let mut options = PlatformOptions::new(settings.platform.endpoints.clone());
    options.call_timeout = Duration::from_millis(settings.platform.call_timeout_ms);
    let store = EtcdStore::new(options, pool.clone());
    let options = ConfigurationOptions { names, seed: rand::random() };
    Configuration::start(store, source, options, tasks, stopping.clone())
}

/// Makes the reader of the platform's list of instances.
pub(super) fn instances(settings: &Settings, pool: &Pool) -> HttpInstances {
    let platform = &settings.platform;
    let endpoints = match platform.instance_list_endpoints.is_empty() {
        true => platform.endpoints.clone(),
        false => platform.instance_list_endpoints.clone(),
    };
    HttpInstances::new(PlatformOptions::new(endpoints), pool.clone())
}

/// Begins to roll weights and roles out to engines.
pub(super) fn roll_out(
    settings: &Settings,
    pool: &Pool,
    configuration: watch::Receiver<Arc<Snapshot>>,
    facts: &EngineFactsHub,
    tasks: &TaskTracker,
    stopping: &CancellationToken,
) -> Rollout {
    let mut options = PlatformOptions::new(settings.platform.endpoints.clone());
    options.call_timeout = Duration::from_millis(settings.platform.call_timeout_ms);
    let store = EtcdStore::new(options, pool.clone());
    // Every node takes itself for the first; their claims are swaps, of which one wins.
    let rank = watch::channel(0).1;
    let inputs = RolloutInputs { configuration, facts: facts.subscribe(), rank };
    let orders = HttpEngineOrders::new(pool.clone());
    Rollout::start(store, orders, inputs, &settings.node.name, tasks, stopping.clone())
}

/// Returns the placement policy.
pub(super) fn policy(settings: &Settings) -> Policy {
    match settings.placement_policy {
        PlacementPolicy::Random => Policy::Random,
        PlacementPolicy::LeastLoaded => Policy::LeastLoaded,
        PlacementPolicy::Affinity => Policy::Affinity,
        PlacementPolicy::Redwingrill => Policy::Redwingrill,
    }
}

/// Returns the limits of the callers' listener.
pub(super) fn listener_options(settings: &Settings) -> ListenerOptions {
    ListenerOptions {
        connections_limit: settings.limits.connections,
        header_limit_bytes: settings.limits.header_bytes,
        header_timeout: Duration::from_millis(settings.limits.request_timeout_ms),
    }
}

/// Makes the task that records orders in the platform's store.
pub(super) fn ledger(
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

/// Returns how long engines may take.
pub(super) fn engine_timeouts(settings: &Settings) -> EngineTimeouts {
    EngineTimeouts {
        connect: Duration::from_millis(settings.streams.connect_timeout_ms),
        first_token: Duration::from_millis(settings.streams.first_token_timeout_ms),
        token: Duration::from_millis(settings.streams.token_timeout_ms),
    }
}
