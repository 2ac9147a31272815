//! The task that owns the state machine.

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
use super::feed::Feed;
use super::feed::TOP_ACCOUNTS;
use super::feed::level_of;
use super::feed::start_of;
use super::messages::EngineAnswer;
use super::messages::Inbox;
use super::messages::Message;
use super::messages::View;
use super::names::KeyNames;
use super::polls::Polls;
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

const TICK: Duration = Duration::from_millis(100);

/// Between reports of other nodes' loads and accounts to the dispatch task.
const FEED_PERIOD_MS: u64 = 500;

/// Between questions for this node's top accounts.
const TOP_ACCOUNTS_PERIOD_MS: u64 = 2_000;

/// Nodes that ask all engines themselves: at most so many pairs of a node and an engine.
const DIRECT_PAIRS: usize = 256;

/// The clock starts here, so that zero can stand for "never".
const CLOCK_START_MS: u64 = 1_000;

/// The task of one node.
#[derive(Debug)]
pub(super) struct ClusterTask<I> {
    pub cluster: Cluster,
    pub inbox: Inbox,
    pub actions: Actions<I>,
    pub feed: Feed,
    pub polls: Polls,
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    pub cache: ConfigCache,
    pub view: watch::Sender<View>,
    /// Whether this node asks all engines itself.
    pub asks_all: Arc<AtomicBool>,
    pub clock: Clock,
    pub names: KeyNames,
    pub interned: Arc<Mutex<Names>>,
    /// Upstreams that are leaving by the list, and by their own word.
    pub listed: BTreeSet<UpstreamKey>,
    pub reported: BTreeSet<UpstreamKey>,
    pub fed_ms: u64,
    pub top_asked_ms: u64,
}

/// Milliseconds of the task's own clock.
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
    /// Runs until cancelled, then closes the endpoint and joins what it spawned.
    pub async fn run(mut self, cancel: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.configure();
        let mut is_followed = true;
        loop {
            tokio::select! {
                biased;
                () = cancel.cancelled() => break,
                changed = self.configuration.changed(), if is_followed => {
                    is_followed = changed.is_ok();
                    self.configure();
                }
                Some(message) = self.inbox.recv() => self.handle(message),
                _ = ticks.tick() => self.tick(),
            }
            self.after_event();
        }
        self.stop().await;
    }

    async fn stop(mut self) {
        // Tasks that report to a closed inbox end at once.
        self.inbox.close();
        self.actions.peers.stop().await;
        self.actions.spawned.close();
        self.actions.spawned.wait().await;
    }

    fn configure(&mut self) {
        let snapshot = self.configuration.borrow_and_update().clone();
        self.names = KeyNames::new(&snapshot);
        let upstreams = snapshot.state.upstreams.values();
        let engines = upstreams.filter(|upstream| upstream.kind == UpstreamKind::Engine);
        let domains = self.interned.lock().expect("no holder panics").domains.clone();
        self.cluster.set_engines(engines.map(|upstream| {
            let domain = domains.name(upstream.domain).to_owned();
            (UpstreamKey::of(&upstream.name), domain)
        }));
        let generation = snapshot.generation.0;
        if generation > 0 {
            let manifest = self.cache.manifest().unwrap_or_default();
            let manifest = hash_of(&manifest);
            let in_force = InForce { generation, manifest };
            self.cluster.publish_in_force(self.clock.now_ms(), in_force);
        }
        self.feed.leaving(&self.names, &self.cluster);
        self.share_asking();
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.clock.now_ms();
        match message {
            Message::Exchange { caller, link, frame, reply } => {
                self.actions.callers.insert(link, caller);
                let answer = self.cluster.on_exchange(now_ms, link, frame);
                // The peer gave up; its link starts anew.
                let _gone = reply.send(answer).is_err();
            }
            Message::Nudge { link } => self.cluster.on_nudge(now_ms, link),
            Message::Exchanged { link, result: Ok(reply) } => {
                self.cluster.on_response(now_ms, link, reply);
            }
            Message::Exchanged { link, result: Err(error) } => {
                let address = self.actions.addresses.remove(&link);
                log::debug!("event=exchange_failed address={address:?} error=\"{error}\"");
                self.cluster.on_exchange_failure(now_ms, link);
            }
            Message::NudgeFailed { link } => {
                self.actions.callers.remove(&link);
                self.cluster.on_link_closed(link);
            }
            Message::EngineAsked { engine, answer } => self.engine_answered(engine, answer),
            Message::Listed { instances } => self.listed(instances),
            Message::TopAccounts { demands } => {
                self.cluster.set_heavy_hitters(&Feed::heavy_hitters(&self.names, &demands));
            }
            Message::Leave => self.cluster.leave(now_ms),
            Message::Dump { reply } => {
                let _gone = reply.send(self.dump(now_ms)).is_err();
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        for action in self.cluster.tick(now_ms) {
            self.actions.carry_out(action);
        }
        for engine in self.polls.engines_due(now_ms, &self.cluster) {
            if let Some(address) = self.names.engine_address(engine) {
                self.actions.ask_engine(engine, address);
            }
        }
        if self.polls.list_due(now_ms, &self.cluster) {
            self.actions.read_list();
        }
        if !self.cluster.reads_instance_list() && !self.listed.is_empty() {
            self.listed.clear();
            self.publish_leaving();
        }
        if now_ms >= self.top_asked_ms + TOP_ACCOUNTS_PERIOD_MS {
            self.top_asked_ms = now_ms;
            self.actions.ask_top_accounts(self.feed.dispatcher(), TOP_ACCOUNTS);
            self.actions.sweep();
        }
        self.feed_due(now_ms);
    }

    fn feed_due(&mut self, now_ms: u64) {
        if now_ms < self.fed_ms + FEED_PERIOD_MS {
            return;
        }
        self.fed_ms = now_ms;
        if !self.asks_all.load(Ordering::Relaxed) {
            self.feed.loads(&self.names, &self.cluster, now_ms);
        }
        self.feed.demand(&self.names, &self.cluster, now_ms);
    }

    fn engine_answered(&mut self, engine: UpstreamKey, answer: Option<EngineAnswer>) {
        let Some(EngineAnswer { load, leaving }) = answer else {
            self.cluster.record_no_response(engine);
            return;
        };
        self.cluster.record_load(engine, start_of(&load), level_of(&load));
        self.feed.own_load(&self.names, engine, load, leaving);
        let is_new = match leaving {
            true => self.reported.insert(engine),
            false => self.reported.remove(&engine),
        };
        if is_new {
            self.publish_leaving();
        }
    }

    fn listed(&mut self, instances: Option<Vec<Instance>>) {
        self.polls.listed();
        let Some(instances) = instances else { return };
        let leaving = instances.iter().filter(|instance| instance.state == InstanceState::Leaving);
        let leaving = leaving.map(|instance| UpstreamKey::of(&instance.name));
        let leaving: BTreeSet<UpstreamKey> =
            leaving.filter(|&key| self.names.upstream(key).is_some()).collect();
        if self.cluster.reads_instance_list() && leaving != self.listed {
            self.listed = leaving;
            self.publish_leaving();
        }
        let entries = instances.into_iter().filter(|instance| {
            let is_upstream = self.names.upstream(UpstreamKey::of(&instance.name)).is_some();
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
        let upstreams = self.listed.union(&self.reported).copied().collect();
        self.cluster.publish_leaving(self.clock.now_ms(), LeavingUpstreams { upstreams });
    }

    /// Hands on what the event changed.
    fn after_event(&mut self) {
        let changes = self.cluster.take_changes();
        if changes.leaving || changes.members {
            self.feed.leaving(&self.names, &self.cluster);
        }
        if changes.members {
            self.share_asking();
            info!("event=members_changed usable={}", self.cluster.usable_members().count());
        }
        if changes.members || changes.generation {
            self.view.send_replace(self.view_now());
        }
    }

    /// Decides whether this node asks all engines itself.
    fn share_asking(&self) {
        let nodes = self.cluster.usable_members().count();
        let asks_all = nodes * self.names.engine_count() <= DIRECT_PAIRS;
        self.asks_all.store(asks_all, Ordering::Relaxed);
    }

    fn view_now(&self) -> View {
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
        View {
            newest_generation: newest,
            holders: holders.map(|&(_, address)| address).collect(),
            dialled: self.cluster.outbound_addresses().collect(),
            live_nodes: self.cluster.usable_members().count(),
        }
    }

    fn dump(&self, now_ms: u64) -> Value {
        json!({
            "cluster": self.cluster.summary(now_ms),
            "traffic": self.actions.peers.traffic(),
            "asks_all_engines": self.asks_all.load(Ordering::Relaxed),
            "listed_leaving": self.listed.len(),
            "reported_leaving": self.reported.len(),
        })
    }
}

fn hash_of(manifest: &[u8]) -> [u8; 8] {
    let hash = blake3::hash(manifest);
    let mut short = [0; 8];
    short.copy_from_slice(&hash.as_bytes()[..8]);
    short
}
