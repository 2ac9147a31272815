//! Ledger nodes that crash, restart, pause and change shard owners.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::support::EPOCH_MS;
use crate::support::detached_store::DetachedStore;
use crate::support::gate::Gate;
use crate::support::service::Service;
use crate::support::service::ServiceResponse;
use redwingrill_codes::ResultCode;
use redwingrill_fakes::MemoryStore;
use redwingrill_ledger::AttemptId;
use redwingrill_ledger::Fingerprint;
use redwingrill_ledger::OrderKey;
use redwingrill_ledger::Outcome;
use redwingrill_ledger::ShardId;
use redwingrill_ledger::layout::LayoutConfig;
use redwingrill_ledger::layout::OperationError;
use redwingrill_ledger::layout::PagedLayout;
use redwingrill_ledger::layout::SingleLayout;
use redwingrill_ledger::order::Order;
use redwingrill_ledger::order::OrderPolicy;
use redwingrill_ledger::order::RecordError;
use redwingrill_ledger::record::Operation;
use redwingrill_ledger::record::Verdict;
use redwingrill_ledger::task::ForwardError;
use redwingrill_ledger::task::Ledger;
use redwingrill_ledger::task::LedgerConfig;
use redwingrill_ledger::task::LedgerTask;
use redwingrill_ledger::task::ShardOwners;
use redwingrill_ledger::task::WallClock;

/// The layout of the records.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LayoutKind {
    /// One key per order.
    Single,
    /// Pages of many records.
    Paged,
}

/// Options of a test cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    pub layout: LayoutKind,
    pub nodes: usize,
    /// Whether nodes forward operations to shard owners.
    pub forwarding: bool,
    /// Whether links between nodes delay and lose messages.
    pub chaos: bool,
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self { layout: LayoutKind::Paged, nodes: 2, forwarding: false, chaos: false, seed: 1 }
    }
}

#[derive(Debug)]
struct Node {
    ledger: Option<Ledger>,
    gate: Gate,
    tasks: Vec<JoinHandle<()>>,
}

/// The state shared by the links between nodes.
#[derive(Debug)]
struct Links {
    nodes: Mutex<Vec<Option<Ledger>>>,
    owner: Mutex<usize>,
    rng: Mutex<SmallRng>,
    options: ClusterOptions,
}

/// All nodes of a test.
pub struct Cluster {
    pub store: MemoryStore,
    pub service: Service,
    options: ClusterOptions,
    links: Arc<Links>,
    nodes: Vec<Node>,
    started: Instant,
}

#[derive(Clone)]
struct LinkedOwners {
    own_index: usize,
    links: Arc<Links>,
}

impl ShardOwners for LinkedOwners {
    fn owner_of(&self, shard: &ShardId) -> Option<String> {
        if !self.links.options.forwarding {
            return None;
        }
        let owner = *self.links.owner.lock().expect("the mutex is not poisoned");
        let owner = (owner + shard.index as usize) % self.links.options.nodes;
        (owner != self.own_index).then(|| owner.to_string())
    }

    async fn forward(
        &self,
        owner: &str,
        operation: Operation,
        within_ms: u64,
    ) -> Result<Result<Verdict, OperationError>, ForwardError> {
        let index: usize = owner.parse().expect("owner names are node indexes");
        let peer = self.links.nodes.lock().expect("the mutex is not poisoned")[index].clone();
        let peer = peer.ok_or(ForwardError::NotSent)?;
        let (delay_ms, call_lost, response_lost) = {
            let mut rng = self.links.rng.lock().expect("the mutex is not poisoned");
            let chaos = self.links.options.chaos;
            let delay_ms = if chaos { rng.random_range(0..400) } else { 1 };
            (delay_ms, chaos && rng.random_bool(0.1), chaos && rng.random_bool(0.2))
        };
        if call_lost {
            return Err(ForwardError::Lost);
        }
        let sent = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            peer.apply_for_peer(operation, within_ms).await
        });
        let response = sent.await.map_err(|_| ForwardError::Lost)?;
        if response_lost { Err(ForwardError::Lost) } else { Ok(response) }
    }
}

/// Returns layout settings with small pages, so that pages are sealed often.
pub fn layout_config() -> LayoutConfig {
    LayoutConfig {
        shards: 2,
        page_records_limit: 4,
        page_span_ms: 5_000,
        ..LayoutConfig::default()
    }
}

impl Cluster {
    /// Starts the nodes.
    pub fn start(options: ClusterOptions, service: Service) -> Self {
        let links = Links {
            nodes: Mutex::new(vec![None; options.nodes]),
            owner: Mutex::new(0),
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed ^ 0x5eed)),
            options,
        };
        let store = MemoryStore::new();
        let nodes = Vec::new();
        let links = Arc::new(links);
        let mut cluster = Self { store, service, options, links, nodes, started: Instant::now() };
        for index in 0..options.nodes {
            let gate = Gate::default();
            cluster.nodes.push(Node { ledger: None, gate, tasks: Vec::new() });
            cluster.restart(index);
        }
        cluster
    }

    /// Kills a node; calls that it has sent continue.
    pub fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.tasks.drain(..).for_each(|task| task.abort());
        node.ledger = None;
        node.gate.set_paused(false);
        self.links.nodes.lock().expect("the mutex is not poisoned")[index] = None;
    }

    /// Restarts a node with empty state.
    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        let gate = Gate::default();
        let started = self.started;
        // Each node's clock is one second ahead of the previous node's.
        let skew_ms = index as u64 * 1_000;
        let clock =
            WallClock::new(move || EPOCH_MS + skew_ms + started.elapsed().as_millis() as u64);
        let store = DetachedStore(self.store.clone());
        let owners = LinkedOwners { own_index: index, links: self.links.clone() };
        let layout = layout_config();
        let config = LedgerConfig::default();
        let (ledger, task) = match self.options.layout {
            LayoutKind::Single => {
                let single = SingleLayout::new(layout);
                let (ledger, task) =
                    LedgerTask::new(store, single, owners, layout.shards, config, clock);
                (ledger, tokio::spawn(gate.wrap(task.run())))
            }
            LayoutKind::Paged => {
                let paged = PagedLayout::new(layout);
                let (ledger, task) =
                    LedgerTask::new(store, paged, owners, layout.shards, config, clock);
                (ledger, tokio::spawn(gate.wrap(task.run())))
            }
        };
        self.links.nodes.lock().expect("the mutex is not poisoned")[index] = Some(ledger.clone());
        self.nodes[index] = Node { ledger: Some(ledger), gate, tasks: vec![task] };
    }

    /// Pauses or resumes all tasks of a node.
    pub fn set_paused(&self, index: usize, paused: bool) {
        self.nodes[index].gate.set_paused(paused);
    }

    /// Makes a node the owner of the first shard; the other shards follow in rotation.
    pub fn set_owner(&self, owner: usize) {
        *self.links.owner.lock().expect("the mutex is not poisoned") = owner;
    }

    /// Returns the ledger handle of a running node.
    pub fn ledger(&self, index: usize) -> Ledger {
        self.nodes[index].ledger.clone().expect("the node is running")
    }

    /// Serves a call on a node in the background and passes the result to `report`.
    pub fn spawn_call(
        &mut self,
        index: usize,
        call: Call,
        report: impl FnOnce(Result<Outcome, ResultCode>) + Send + 'static,
    ) {
        let node = &mut self.nodes[index];
        let Some(ledger) = node.ledger.clone() else { return };
        let service = self.service.clone();
        let work = async move { report(serve(&ledger, &service, call).await) };
        node.tasks.push(tokio::spawn(node.gate.wrap(work)));
    }
}

/// One call from a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: u64,
    pub key: OrderKey,
    pub fingerprint: Fingerprint,
    pub policy: OrderPolicy,
}

/// Serves a call like a node: records, sends and finishes the order.
pub async fn serve(ledger: &Ledger, service: &Service, call: Call) -> Result<Outcome, ResultCode> {
    let hash = call.key.hash;
    let order = Order::receive(ledger, call.key, call.fingerprint, call.policy);
    let mut recorded = match order.record(AttemptId(u128::from(call.id))).await {
        Ok(recorded) => recorded,
        Err(RecordError::Replay(outcome)) => return Ok(outcome),
        Err(RecordError::MayBeRunning) => return Err(ResultCode::OutcomeUnknown),
        Err(RecordError::Refused(code)) => return Err(code),
    };
    for _ in 0..2 {
        let sent = recorded.send()?;
        match service.call(hash, call.id, sent.fencing()).await {
            ServiceResponse::Outcome(outcome) => {
                // The outcome is written even if the caller does not wait for the write.
                drop(sent.finish(outcome.clone()));
                return Ok(outcome);
            }
            ServiceResponse::Unreachable => recorded = sent.mark_unsent(),
            ServiceResponse::Fenced | ServiceResponse::Lost => {
                sent.leave_unfinished();
                return Err(ResultCode::OutcomeUnknown);
            }
        }
    }
    Err(ResultCode::UpstreamUnreachable)
}
