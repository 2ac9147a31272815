//! Reports engine loads, leaving upstreams and remote demand to the dispatch task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Duration;
use tokio::time::Instant;

use super::key_index::KeyIndex;
use crate::dispatch::Dispatcher;
use crate::dispatch::EngineLoadReport;
use redwingrill_admission::limits::AccountDemand;
use redwingrill_membership::Cluster;
use redwingrill_membership::EngineLevel;
use redwingrill_membership::EngineLoad;
use redwingrill_membership::EngineStart;
use redwingrill_membership::HeavyHitter;
use redwingrill_membership::HeavyHitters;
use redwingrill_membership::ItemKind;
use redwingrill_membership::LeavingUpstreams;
use redwingrill_membership::MemberState;
use redwingrill_membership::NodeKey;
use redwingrill_membership::UpstreamKey;
use redwingrill_placement::fleet;
use redwingrill_placement::fleet::Incarnation;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_placement::fleet::WeightsTag;

/// Number of client accounts that a node publishes, those with the highest demand.
pub(super) const TOP_ACCOUNTS: usize = 4;

/// Number of ranking periods after which a node's published demand is ignored.
const DEMAND_EXPIRY_PERIODS: u64 = 4;

/// Converts the identity in a load report to the digest format.
pub(super) fn digest_start(load: &LoadReport) -> EngineStart {
    EngineStart { incarnation: load.start.incarnation.0, weights: load.start.weights.0 }
}

/// Quantises a load report for the digest.
pub(super) fn digest_level(load: &LoadReport) -> EngineLevel {
    EngineLevel::new(load.running.into(), load.waiting.into(), load.waiting_tokens)
}

fn load_report(engine_load: &EngineLoad) -> Option<LoadReport> {
    let EngineStart { incarnation, weights } = engine_load.start?;
    let count = |quantity: u64| u32::try_from(quantity).unwrap_or(u32::MAX);
    Some(LoadReport {
        start: fleet::EngineStart {
            incarnation: Incarnation(incarnation),
            weights: WeightsTag(weights),
        },
        running: count(engine_load.level.running()),
        waiting: count(engine_load.level.waiting()),
        waiting_tokens: engine_load.level.waiting_tokens(),
    })
}

/// Reports changes to the dispatch task.
#[derive(Debug)]
pub(super) struct DispatchUpdater {
    dispatcher: Dispatcher,
    reported_ms: BTreeMap<UpstreamKey, u64>,
    leaving: BTreeSet<UpstreamKey>,
}

impl DispatchUpdater {
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self { dispatcher, reported_ms: BTreeMap::new(), leaving: BTreeSet::new() }
    }

    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Reports the load of an engine that this node polled.
    pub fn report_polled_load(
        &self,
        key_index: &KeyIndex,
        engine: UpstreamKey,
        load: LoadReport,
        leaving: bool,
    ) {
        let Some(upstream) = key_index.upstream(engine) else { return };
        let observed = Instant::now();
        self.dispatcher.observe_load(EngineLoadReport { upstream, load, leaving, observed });
    }

    /// Reports the loads received from other watchers since the last call.
    pub fn report_loads(&mut self, key_index: &KeyIndex, cluster: &Cluster, now_ms: u64) {
        let own: BTreeSet<UpstreamKey> = cluster.watched_engines().collect();
        let engine_loads = cluster.engine_loads(now_ms);
        for engine_load in
            engine_loads.values().filter(|engine_load| !own.contains(&engine_load.engine))
        {
            let reported_ms = self.reported_ms.insert(engine_load.engine, engine_load.received_ms);
            if reported_ms >= Some(engine_load.received_ms) {
                continue;
            }
            let Some(upstream) = key_index.upstream(engine_load.engine) else { continue };
            let Some(load) = load_report(engine_load) else { continue };
            let age = Duration::from_millis(now_ms.saturating_sub(engine_load.received_ms));
            let observed = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
            let leaving = self.leaving.contains(&engine_load.engine);
            self.dispatcher.observe_load(EngineLoadReport { upstream, load, leaving, observed });
        }
    }

    /// Reports the upstreams that any node knows to be leaving.
    pub fn update_leaving(&mut self, key_index: &KeyIndex, cluster: &Cluster) {
        let origins = live_origins(cluster);
        let lists =
            origins.filter_map(|origin| cluster.digest().payload::<LeavingUpstreams>(origin));
        self.leaving = lists.flat_map(|list| list.upstreams).collect();
        let upstreams = self.leaving.iter().filter_map(|&key| key_index.upstream(key));
        self.dispatcher.set_leaving(upstreams.collect());
    }

    /// Reports the demand at other nodes.
    pub fn update_demand(&self, key_index: &KeyIndex, cluster: &Cluster, now_ms: u64) {
        let limit_ms = cluster.pacing().ranking_period_ms * DEMAND_EXPIRY_PERIODS;
        let is_fresh = |&origin: &NodeKey| {
            let received_ms = cluster.digest().received_ms(origin, ItemKind::HeavyHitters);
            received_ms.is_some_and(|received_ms| now_ms.saturating_sub(received_ms) <= limit_ms)
        };
        let others = live_origins(cluster).filter(|&origin| origin != cluster.key());
        let lists = others
            .filter(is_fresh)
            .filter_map(|origin| cluster.digest().payload::<HeavyHitters>(origin));
        let hitters = lists.flat_map(|list| list.accounts);
        let demands = hitters.filter_map(|HeavyHitter { account, rate_level }| {
            let tokens_per_s = EngineLevel::quantity_of(rate_level) as f64;
            Some(AccountDemand { account: key_index.account(account)?, tokens_per_s })
        });
        self.dispatcher.set_remote_demand(demands.collect());
    }

    /// Converts this node's top accounts to the digest format.
    pub fn heavy_hitters(key_index: &KeyIndex, demands: &[AccountDemand]) -> HeavyHitters {
        let accounts = demands.iter().filter_map(|demand| {
            let rate_level = EngineLevel::level_of(demand.tokens_per_s as u64);
            Some(HeavyHitter { account: key_index.account_key(demand.account)?, rate_level })
        });
        HeavyHitters { accounts: accounts.collect() }
    }
}

fn live_origins(cluster: &Cluster) -> impl Iterator<Item = NodeKey> {
    let is_dead = |origin| {
        cluster.members().get(origin).is_some_and(|record| record.state == MemberState::Dead)
    };
    cluster.digest().origins().filter(move |&origin| !is_dead(origin))
}
