//! The ledgers of several nodes on one store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::counting::CountingStore;
use redwingrill_fakes::Faults;
use redwingrill_ledger::AttemptId;
use redwingrill_ledger::Fingerprint;
use redwingrill_ledger::IdempotencyKey;
use redwingrill_ledger::KeyHash;
use redwingrill_ledger::OrderKey;
use redwingrill_ledger::Outcome;
use redwingrill_ledger::ShardId;
use redwingrill_ledger::layout::LayoutConfig;
use redwingrill_ledger::layout::OperationError;
use redwingrill_ledger::layout::PagedLayout;
use redwingrill_ledger::layout::SingleLayout;
use redwingrill_ledger::order::Order;
use redwingrill_ledger::order::OrderPolicy;
use redwingrill_ledger::record::Operation;
use redwingrill_ledger::record::Verdict;
use redwingrill_ledger::task::ForwardError;
use redwingrill_ledger::task::Ledger;
use redwingrill_ledger::task::LedgerConfig;
use redwingrill_ledger::task::LedgerTask;
use redwingrill_ledger::task::ShardOwners;
use redwingrill_ledger::task::WallClock;

/// When the paused clock begins.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// How long a message between nodes takes.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// How long an upstream takes for an order.
const UPSTREAM_DELAY: Duration = Duration::from_millis(50);
/// The body of a reply to an order.
const REPLY: &[u8] = &[b'x'; 100];

/// Where records lie.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordLayout {
    /// One key an order.
    Single,
    /// Pages.
    Paged,
}

/// Whether nodes write for one another.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Linking {
    /// Every node writes for itself.
    None,
    /// Each shard has a home that writes for all.
    Homes,
}

/// How the nodes are made.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClusterOptions {
    pub(super) layout: RecordLayout,
    pub(super) linking: Linking,
    pub(super) nodes: usize,
    pub(super) store_delay: Duration,
    pub(super) window_ms: u64,
    pub(super) in_flight_limit: u32,
}

#[derive(Clone)]
struct Links {
    me: usize,
    nodes: usize,
    linking: Linking,
    ledgers: Arc<Mutex<Vec<Ledger>>>,
}

impl ShardOwners for Links {
    fn owner_of(&self, shard: &ShardId) -> Option<String> {
        let home = usize::from(shard.index) % self.nodes;
        (self.linking == Linking::Homes && home != self.me).then(|| home.to_string())
    }

    async fn forward(
        &self,
        home: &str,
        operation: Operation,
        within_ms: u64,
    ) -> Result<Result<Verdict, OperationError>, ForwardError> {
        let index: usize = home.parse().map_err(|_| ForwardError::NotSent)?;
        let ledger = self.ledgers.lock().expect("no holder panics").get(index).cloned();
        let ledger = ledger.ok_or(ForwardError::NotSent)?;
        tokio::time::sleep(LINK_DELAY).await;
        let answer = ledger.apply_for_peer(operation, within_ms).await;
        tokio::time::sleep(LINK_DELAY).await;
        Ok(answer)
    }
}

/// The ledgers of several nodes.
pub(super) struct Cluster {
    pub(super) store: CountingStore,
    options: ClusterOptions,
    ledgers: Arc<Mutex<Vec<Ledger>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Cluster {
    pub(super) fn start(options: ClusterOptions) -> Self {
        let store = CountingStore::default();
        store.inner.set_faults(Faults { delay: options.store_delay, ..Faults::default() });
        let ledgers = Arc::new(Mutex::new(Vec::new()));
        let mut cluster = Self { store, options, ledgers, tasks: Vec::new() };
        for index in 0..options.nodes {
            cluster.add(index);
        }
        cluster
    }

    fn add(&mut self, me: usize) {
        let Self { options, ledgers, .. } = self;
        let links =
            Links { me, nodes: options.nodes, linking: options.linking, ledgers: ledgers.clone() };
        let started = Instant::now();
        let clock = WallClock::new(move || EPOCH_MS + started.elapsed().as_millis() as u64);
        let config = LedgerConfig::default();
        let layout = LayoutConfig::default();
        let store = self.store.clone();
        let shards = layout.shards;
        let (ledger, task) = match options.layout {
            RecordLayout::Single => {
                let single = SingleLayout::new(layout);
                let (ledger, task) = LedgerTask::new(store, single, links, shards, config, clock);
                (ledger, tokio::spawn(task.run()))
            }
            RecordLayout::Paged => {
                let paged = PagedLayout::new(layout);
                let (ledger, task) = LedgerTask::new(store, paged, links, shards, config, clock);
                (ledger, tokio::spawn(task.run()))
            }
        };
        ledgers.lock().expect("no holder panics").push(ledger);
        self.tasks.push(task);
    }

    pub(super) fn ledger(&self, index: usize) -> Ledger {
        self.ledgers.lock().expect("no holder panics")[index].clone()
    }

    pub(super) fn policy(&self) -> OrderPolicy {
        OrderPolicy {
            account: Arc::from("writers"),
            window_ms: self.options.window_ms,
            in_flight_limit: self.options.in_flight_limit,
            running_limit_ms: 0,
            take_over: None,
        }
    }

    /// Writes all that waits and ends the tasks.
    pub(super) async fn stop(self) {
        for index in 0..self.options.nodes {
            self.ledger(index).close(Duration::from_secs(60)).await;
        }
        for task in self.tasks {
            // A task that panicked has printed why.
            let _ = task.await;
        }
    }
}

/// Runs one order. Returns how long its record took; none if it was refused.
pub(super) async fn run_order(
    ledger: &Ledger,
    policy: OrderPolicy,
    number: u64,
) -> Option<Duration> {
    let key = IdempotencyKey::parse(format!("order-{number}").as_bytes()).ok()?;
    let hash = KeyHash::of(&policy.account, &key);
    let key = OrderKey { service: Arc::from("shop"), hash };
    let fingerprint = Fingerprint::of("POST", "/orders", "", &number.to_le_bytes());
    let began = Instant::now();
    let order = Order::receive(ledger, key, fingerprint, policy);
    let recorded = order.record(AttemptId(u128::from(number) + 1)).await.ok()?;
    let took = began.elapsed();
    let sent = recorded.send().ok()?;
    tokio::time::sleep(UPSTREAM_DELAY).await;
    let headers = [("content-type", "application/json")];
    sent.finish(Outcome::from_response(201, headers.into_iter(), Bytes::from_static(REPLY)));
    Some(took)
}
