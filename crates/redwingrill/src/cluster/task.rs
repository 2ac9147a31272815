//! The task that owns the cluster state machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::actions::Actions;
use super::dispatch_updates::DispatchUpdater;
use super::dispatch_updates::TOP_ACCOUNTS;
use super::dispatch_updates::digest_level;
use super::dispatch_updates::digest_start;
use super::key_index::KeyIndex;
use super::messages::EngineResponse;
use super::messages::Inbox;
use super::messages::Message;
use super::messages::PeerView;
use super::poll_schedule::PollSchedule;
use redwingrill_config::ConfigCache;
use redwingrill_config::Snapshot;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::Names;
use redwingrill_membership::Cluster;
use redwingrill_membership::InForce;
use redwingrill_membership::LeavingUpstreams;
use redwingrill_membership::MemberInfo;
use redwingrill_membership::NodeKey;
use redwingrill_membership::UpstreamKey;
use redwingrill_ports::Instance;
use redwingrill_ports::InstanceList;
use redwingrill_ports::InstanceState;

const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Period of reports to the dispatch task on the loads and accounts of other nodes.
const DISPATCH_UPDATE_PERIOD_MS: u64 = 500;

/// Period of queries for this node's top accounts.
const TOP_ACCOUNTS_PERIOD_MS: u64 = 2_000;

/// Every node polls all engines itself while nodes times engines is at most this number.
const DIRECT_POLL_PAIRS_LIMIT: usize = 256;

/// Start value of the clock, so that zero can mean "never".
const CLOCK_START_MS: u64 = 1_000;

/// The cluster task of one node.
#[derive(Debug)]
pub(super) struct ClusterTask<I> {
    pub cluster: Cluster,
    pub inbox: Inbox,
    pub actions: Actions<I>,
    pub updater: DispatchUpdater,
    pub poll_schedule: PollSchedule,
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    pub cache: ConfigCache,
    pub view: watch::Sender<PeerView>,
    /// Whether this node polls all engines itself.
    pub polls_all: Arc<AtomicBool>,
    pub clock: Clock,
    pub key_index: KeyIndex,
    pub interned: Arc<Mutex<Names>>,
    /// Upstreams that are leaving: those marked in the instance list, and those that report it.
    pub listed_leaving: BTreeSet<UpstreamKey>,
    pub reported_leaving: BTreeSet<UpstreamKey>,
    pub dispatch_updated_ms: u64,
    pub top_accounts_queried_ms: u64,
}

/// The monotonic clock of the task, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    origin: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub fn now_ms(self) -> u64 {
        CLOCK_START_MS + self.origin.elapsed().as_millis() as u64
    }
}

impl<I: InstanceList> ClusterTask<I> {
    /// Runs until cancelled, then closes the endpoint and joins the spawned tasks.
    pub async fn run(mut self, cancel: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.apply_configuration();
        let mut has_publisher = true;
        loop {
            tokio::select! {
                biased;
                () = cancel.cancelled() => break,
                changed = self.configuration.changed(), if has_publisher => {
                    has_publisher = changed.is_ok();
                    self.apply_configuration();
                }
                Some(message) = self.inbox.recv() => self.handle(message),
                _ = ticks.tick() => self.tick(),
            }
            self.apply_changes();
        }
        self.stop().await;
    }

    async fn stop(mut self) {
        // Tasks that send to a closed inbox end immediately.
        self.inbox.close();
        self.actions.peers.stop().await;
        self.actions.spawned.close();
        self.actions.spawned.wait().await;
    }

    fn apply_configuration(&mut self) {
        let snapshot = self.configuration.borrow_and_update().clone();
        self.key_index = KeyIndex::new(&snapshot);
        let upstreams = snapshot.state.upstreams.values();
        let engines = upstreams.filter(|upstream| upstream.kind == UpstreamKind::Engine);
        let domains =
            self.interned.lock().expect("no thread panics while holding the lock").domains.clone();
        self.cluster.set_engines(engines.map(|upstream| {
            let domain = domains.name(upstream.domain).to_owned();
            (UpstreamKey::of(&upstream.name), domain)
        }));
        let generation = snapshot.generation.0;
        if generation > 0 {
            let manifest = self.cache.manifest().unwrap_or_default();
            let manifest = short_hash(&manifest);
            let in_force = InForce { generation, manifest };
            self.cluster.publish_in_force(self.clock.now_ms(), in_force);
        }
        self.updater.update_leaving(&self.key_index, &self.cluster);
        self.update_polling_mode();
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.clock.now_ms();
        match message {
            Message::Exchange { caller, link, frame, reply } => {
                self.actions.inbound.insert(link, caller);
                let response = self.cluster.on_exchange(now_ms, link, frame);
                // The peer cancelled the exchange and opens a new link.
                let _cancelled = reply.send(response).is_err();
            }
            Message::Nudge { link } => self.cluster.on_nudge(now_ms, link),
            Message::ExchangeEnded { link, result: Ok(reply) } => {
                self.cluster.on_response(now_ms, link, reply);
            }
            Message::ExchangeEnded { link, result: Err(error) } => {
                let address = self.actions.addresses.remove(&link);
                log::debug!("event=exchange_failed address={address:?} error=\"{error}\"");
                self.cluster.on_exchange_failure(now_ms, link);
            }
            Message::NudgeFailed { link } => {
                self.actions.inbound.remove(&link);
                self.cluster.on_link_closed(link);
            }
            Message::EnginePolled { engine, response } => self.on_engine_polled(engine, response),
            Message::InstancesListed { instances } => self.on_instances_listed(instances),
            Message::TopAccounts { demands } => {
                self.cluster
                    .set_heavy_hitters(&DispatchUpdater::heavy_hitters(&self.key_index, &demands));
            }
            Message::Leave => self.cluster.leave(now_ms),
            Message::Dump { reply } => {
                let _cancelled = reply.send(self.dump(now_ms)).is_err();
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        for action in self.cluster.tick(now_ms) {
            self.actions.execute(action);
        }
        for engine in self.poll_schedule.engines_due(now_ms, &self.cluster) {
            if let Some(address) = self.key_index.engine_address(engine) {
                self.actions.poll_engine(engine, address);
            }
        }
        if self.poll_schedule.list_due(now_ms, &self.cluster) {
            self.actions.read_instance_list();
        }
        if !self.cluster.reads_instance_list() && !self.listed_leaving.is_empty() {
            self.listed_leaving.clear();
            self.publish_leaving();
        }
        if now_ms >= self.top_accounts_queried_ms + TOP_ACCOUNTS_PERIOD_MS {
            self.top_accounts_queried_ms = now_ms;
            self.actions.query_top_accounts(self.updater.dispatcher(), TOP_ACCOUNTS);
            self.actions.remove_closed();
        }
        self.update_dispatch(now_ms);
    }

    fn update_dispatch(&mut self, now_ms: u64) {
        if now_ms < self.dispatch_updated_ms + DISPATCH_UPDATE_PERIOD_MS {
            return;
        }
        self.dispatch_updated_ms = now_ms;
        if !self.polls_all.load(Ordering::Relaxed) {
            self.updater.report_loads(&self.key_index, &self.cluster, now_ms);
        }
        self.updater.update_demand(&self.key_index, &self.cluster, now_ms);
    }

    fn on_engine_polled(&mut self, engine: UpstreamKey, response: Option<EngineResponse>) {
        let Some(EngineResponse { load, leaving }) = response else {
            self.cluster.record_no_response(engine);
            return;
        };
        self.cluster.record_load(engine, digest_start(&load), digest_level(&load));
        self.updater.report_polled_load(&self.key_index, engine, load, leaving);
        let is_new = match leaving {
            true => self.reported_leaving.insert(engine),
            false => self.reported_leaving.remove(&engine),
        };
        if is_new {
            self.publish_leaving();
        }
    }

    fn on_instances_listed(&mut self, instances: Option<Vec<Instance>>) {
        self.poll_schedule.record_list_read();
        let Some(instances) = instances else { return };
        let leaving = instances.iter().filter(|instance| instance.state == InstanceState::Leaving);
        let leaving = leaving.map(|instance| UpstreamKey::of(&instance.name));
        let leaving: BTreeSet<UpstreamKey> =
            leaving.filter(|&key| self.key_index.upstream(key).is_some()).collect();
        if self.cluster.reads_instance_list() && leaving != self.listed_leaving {
            self.listed_leaving = leaving;
            self.publish_leaving();
        }
        let entries = instances.into_iter().filter(|instance| {
            let is_upstream = self.key_index.upstream(UpstreamKey::of(&instance.name)).is_some();
            instance.state == InstanceState::Live && !is_upstream
        });
        let entries: Vec<MemberInfo> = entries
            .map(|Instance { name, address, failure_domain, .. }| MemberInfo {
                name,
                address,
                failure_domain,
            })
            .collect();
        self.cluster.add_listed_seeds(&entries);
    }

    fn publish_leaving(&mut self) {
        let upstreams = self.listed_leaving.union(&self.reported_leaving).copied().collect();
        self.cluster.publish_leaving(self.clock.now_ms(), LeavingUpstreams { upstreams });
    }

    /// Propagates the changes of the last event to other tasks.
    fn apply_changes(&mut self) {
        let changes = self.cluster.take_changes();
        if changes.leaving || changes.members {
            self.updater.update_leaving(&self.key_index, &self.cluster);
        }
        if changes.members {
            self.update_polling_mode();
            info!("event=members_changed usable={}", self.cluster.usable_members().count());
        }
        if changes.members || changes.generation {
            self.view.send_replace(self.peer_view());
        }
    }

    /// Updates whether this node polls all engines itself.
    fn update_polling_mode(&self) {
        let nodes = self.cluster.usable_members().count();
        let polls_all = nodes * self.key_index.engine_count() <= DIRECT_POLL_PAIRS_LIMIT;
        self.polls_all.store(polls_all, Ordering::Relaxed);
    }

    fn peer_view(&self) -> PeerView {
        let newest = self.cluster.newest_in_force().generation;
        let own = self.cluster.key();
        let generation_of = |key: NodeKey| {
            let in_force: Option<InForce> = self.cluster.digest().payload(key);
            in_force.map_or(0, |in_force| in_force.generation)
        };
        let others = self.cluster.usable_members().filter(|&(key, _)| key != own);
        let others: Vec<(NodeKey, SocketAddr)> =
            others.map(|(key, info)| (key, info.address)).collect();
        let holders = others.iter().filter(|&&(key, _)| generation_of(key) == newest);
        PeerView {
            newest_generation: newest,
            holders: holders.map(|&(_, address)| address).collect(),
            outbound: self.cluster.outbound_addresses().collect(),
            live_nodes: self.cluster.usable_members().count(),
        }
    }

    fn dump(&self, now_ms: u64) -> Value {
        json!({
            "cluster": self.cluster.summary(now_ms),
            "traffic": self.actions.peers.traffic(),
            "asks_all_engines": self.polls_all.load(Ordering::Relaxed),
            "listed_leaving": self.listed_leaving.len(),
            "reported_leaving": self.reported_leaving.len(),
        })
    }
}

fn short_hash(manifest: &[u8]) -> [u8; 8] {
    let hash = blake3::hash(manifest);
    let mut short = [0; 8];
    short.copy_from_slice(&hash.as_bytes()[..8]);
    short
}
