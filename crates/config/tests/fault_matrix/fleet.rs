//! A fleet of followers that share one store and are peers of each other.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::faulty_store::FaultTrigger;
use crate::faulty_store::NodeFaults;
use crate::faulty_store::NodeStore;
use crate::faulty_store::Pausable;
use crate::faulty_store::Step;
use redwingrill_config::ChunkHash;
use redwingrill_config::ChunkSource;
use redwingrill_config::ConfigCache;
use redwingrill_config::DesiredState;
use redwingrill_config::Follower;
use redwingrill_config::FollowerHandle;
use redwingrill_config::Generation;
use redwingrill_fakes::MemoryStore;

/// The number of peers that a node of a large fleet calls.
const CALLED_PEERS: usize = 6;

/// The time until a started node has discovered its peers.
const DISCOVERY_DELAY: Duration = Duration::from_secs(1);

/// The time until a started node receives the generation that peers have in force.
const GOSSIP_DELAY: Duration = Duration::from_millis(150);

/// The state of a node that its peers can access.
#[derive(Clone, Debug, Default)]
struct PeerSlot {
    cache: Option<ConfigCache>,
    paused: bool,
    isolated: bool,
}

#[derive(Clone, Debug)]
pub struct FleetSource {
    node_index: usize,
    slots: Arc<Mutex<Vec<PeerSlot>>>,
    trigger: FaultTrigger,
    started: Instant,
}

impl FleetSource {
    /// Returns the reachable peers among every `stride`-th node.
    fn reachable(&self, stride: usize) -> Vec<ConfigCache> {
        let slots = self.slots.lock().expect("no thread panics while holding the lock");
        if slots[self.node_index].isolated {
            return Vec::new();
        }
        let count = slots.len();
        let others =
            (1..count).step_by(stride).map(|step| &slots[(self.node_index + step) % count]);
        let reachable = others.filter(|slot| !slot.paused && !slot.isolated);
        reachable.filter_map(|slot| slot.cache.clone()).collect()
    }

    /// Returns the subset of peers that this node calls.
    fn called(&self) -> Vec<ConfigCache> {
        let count = self.slots.lock().expect("no thread panics while holding the lock").len();
        self.reachable((count / CALLED_PEERS).max(1))
    }
}

impl ChunkSource for FleetSource {
    fn newest_generation(&self) -> Generation {
        if self.started.elapsed() < GOSSIP_DELAY {
            return Generation::default();
        }
        self.reachable(1).iter().map(ConfigCache::generation).max().unwrap_or_default()
    }

    async fn newest_manifest(&self) -> Option<Bytes> {
        self.trigger.reach(Step::Announce).await;
        self.called().iter().max_by_key(|cache| cache.generation())?.manifest()
    }

    async fn chunk(&self, hash: ChunkHash) -> Option<Bytes> {
        self.trigger.reach(Step::Fetch).await;
        self.called().iter().find_map(|cache| cache.chunk(hash))
    }

    fn live_nodes(&self) -> usize {
        let discovered = self.started.elapsed() >= DISCOVERY_DELAY;
        if discovered { self.reachable(1).len() + 1 } else { 1 }
    }
}

struct RunningNode {
    task: JoinHandle<()>,
    observer: JoinHandle<()>,
    handle: FollowerHandle,
}

/// One node, running or not.
pub struct Node {
    store: NodeStore,
    running: Option<RunningNode>,
    seed: u64,
    /// When the node was last unable to receive a configuration.
    pub impaired_at: Instant,
    /// The highest generation that any run of this node had in force.
    pub highest_generation: u64,
}

pub struct Fleet {
    pub store: MemoryStore,
    pub trigger: FaultTrigger,
    pub nodes: Vec<Node>,
    slots: Arc<Mutex<Vec<PeerSlot>>>,
}

impl Fleet {
    pub fn start(store: MemoryStore, trigger: FaultTrigger, count: usize, seed: u64) -> Self {
        let slots = Arc::new(Mutex::new(vec![PeerSlot::default(); count]));
        let nodes = (0..count).map(|index| Node {
            store: NodeStore::new(store.clone(), trigger.clone()),
            running: None,
            seed: seed * 1_000 + index as u64,
            impaired_at: Instant::now(),
            highest_generation: 0,
        });
        let mut fleet = Self { nodes: nodes.collect(), store, trigger, slots };
        (0..count).for_each(|index| fleet.start_node(index));
        fleet
    }

    pub fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.seed += 100;
        node.impaired_at = Instant::now();
        let slots = self.slots.clone();
        let started = Instant::now();
        let source =
            FleetSource { node_index: index, slots, trigger: self.trigger.clone(), started };
        let (follower, handle) =
            Follower::new(node.store.clone(), source, Arc::default(), node.seed);
        let run = follower.run(CancellationToken::new());
        let task = tokio::spawn(Pausable::new(run, node.store.faults.subscribe()));
        let observer = tokio::spawn(observe(handle.clone(), self.trigger.clone()));
        self.slots.lock().expect("no thread panics while holding the lock")[index].cache =
            Some(handle.cache.clone());
        node.running = Some(RunningNode { task, observer, handle });
    }

    pub fn kill_node(&mut self, index: usize) {
        self.slots.lock().expect("no thread panics while holding the lock")[index].cache = None;
        if let Some(running) = self.nodes[index].running.take() {
            running.task.abort();
            running.observer.abort();
        }
    }

    pub fn set_node_faults(&self, index: usize, change: impl FnOnce(&mut NodeFaults)) {
        let faults = &self.nodes[index].store.faults;
        faults.send_modify(change);
        self.slots.lock().expect("no thread panics while holding the lock")[index].paused =
            faults.borrow().paused;
    }

    pub fn set_isolated(&self, index: usize, isolated: bool) {
        self.slots.lock().expect("no thread panics while holding the lock")[index].isolated =
            isolated;
    }

    /// Checks that no observer saw a generation that did not increase.
    pub fn check_observers(&self) {
        let observers = self.nodes.iter().filter_map(|node| node.running.as_ref());
        for running in observers {
            assert!(!running.observer.is_finished(), "the generation of a node did not increase");
            assert!(!running.task.is_finished(), "a follower task ended");
        }
    }
}

impl Node {
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    pub fn faults(&self) -> NodeFaults {
        *self.store.faults.borrow()
    }

    pub fn calls(&self) -> u64 {
        *self.store.calls.lock().expect("no thread panics while holding the lock")
    }

    /// Returns the generation in force and its marker.
    pub fn in_force(&self) -> Option<(u64, u64)> {
        let snapshot = self.running.as_ref()?.handle.snapshots.borrow().clone();
        Some((snapshot.generation.0, marker(&snapshot.state)))
    }
}

/// Returns the marker of a configuration made by `support::config_text`; zero for none.
pub fn marker(state: &DesiredState) -> u64 {
    state.accounts.values().find(|a| a.name == "a00000").map_or(0, |a| u64::from(a.weight))
}

async fn observe(mut handle: FollowerHandle, trigger: FaultTrigger) {
    let mut last = 0;
    while handle.snapshots.changed().await.is_ok() {
        let generation = handle.snapshots.borrow_and_update().generation.0;
        if generation <= last {
            return;
        }
        last = generation;
        trigger.reach(Step::Adopt).await;
    }
    // The node was killed, which also aborts the observer.
    std::future::pending().await
}
