//! The task that carries the roll-out out.
//!
//! While all engines that report serve what is desired, it makes no call at all.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use futures::future::FutureExt;
use futures::stream;
use futures::stream::StreamExt;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::EngineFacts;
use crate::EngineOrders;
use crate::Order;
use crate::OrderOutcome;
use crate::ROLLOUT_KEY;
use crate::RolloutRecord;
use crate::RolloutStatus;
use crate::plan::is_complete;
use crate::stages::Owning;
use crate::stages::Rollout;
use crate::stages::Step;
use crate::stages::Watching;
use redwingrill_config::Snapshot;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// The pause between two steps of an owner.
const OWNER_PAUSE: Duration = Duration::from_millis(500);

/// The pause between two looks of a node that does not own the roll-out.
const WATCH_PAUSE: Duration = Duration::from_secs(4);

/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How many orders are under way at the same time.
const ORDERS_AT_ONCE: usize = 16;

/// What the roll-out reads of other parts.
#[derive(Clone, Debug)]
pub struct RolloutInputs {
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    /// The reports of engines.
    pub facts: watch::Receiver<Arc<EngineFacts>>,
    /// The node's place among live nodes for this duty, zero the first. Nodes may differ over it.
    pub rank: watch::Receiver<usize>,
}

/// The roll-out of one node.
#[derive(Debug)]
pub struct RolloutTask<S, O> {
    store: S,
    orders: O,
    inputs: RolloutInputs,
    status: watch::Sender<RolloutStatus>,
    started: Instant,
    // The view for which the record was seen to be complete.
    settled: Option<u64>,
}

enum Stage {
    Watching(Rollout<Watching>),
    Owning(Box<Rollout<Owning>>),
}

impl<S: Store, O: EngineOrders> RolloutTask<S, O> {
    /// Makes the task, and a reader of its state.
    pub fn new(
        store: S,
        orders: O,
        inputs: RolloutInputs,
    ) -> (Self, watch::Receiver<RolloutStatus>) {
        let status = watch::Sender::new(RolloutStatus::default());
        let reader = status.subscribe();
        (Self { store, orders, inputs, status, started: Instant::now(), settled: None }, reader)
    }

    /// Runs until cancelled, as the node of this name with a random number of this run.
    pub async fn run(mut self, node: &str, writer: u64, cancel: CancellationToken) {
        tokio::select! {
            biased;
            () = cancel.cancelled() => {}
            () = self.roll(node, writer) => {}
        }
    }

    async fn roll(&mut self, node: &str, writer: u64) {
        let mut stage = Stage::Watching(Rollout::new(node, writer));
        loop {
            let pause = match stage {
                Stage::Watching(_) => WATCH_PAUSE,
                Stage::Owning(_) => OWNER_PAUSE,
            };
            tokio::time::sleep(pause).await;
            stage = match stage {
                Stage::Watching(rollout) => self.watch(rollout).await,
                Stage::Owning(rollout) => self.own(rollout).await,
            };
            self.publish(&stage);
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn watch(&mut self, mut rollout: Rollout<Watching>) -> Stage {
        let rank = *self.inputs.rank.borrow();
        let view = self.view();
        if !Rollout::takes_part(rank) || self.settled == Some(view) || self.nothing_to_do() {
            return Stage::Watching(rollout);
        }
        let Ok((record, revision)) = self.read().await else { return Stage::Watching(rollout) };
        if self.is_settled(record.as_ref()) {
            self.settled = Some(view);
            return Stage::Watching(rollout);
        }
        let Some(claim) = rollout.observe(record.as_ref(), rank, self.now_ms()) else {
            return Stage::Watching(rollout);
        };
        let expected = revision.map_or(Expected::Absent, Expected::At);
        match self.write(expected, &claim).await {
            Some(revision) => {
                log::info!("event=rollout_claimed fencing_number={}", claim.fencing_number);
                Stage::Owning(Box::new(rollout.claimed(claim, revision, self.now_ms())))
            }
            None => Stage::Watching(rollout),
        }
    }

    /// Returns a fingerprint of all that decides whether there is something to do.
    fn view(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.inputs.configuration.borrow().generation.hash(&mut hasher);
        for (id, fact) in self.inputs.facts.borrow().iter() {
            (id, fact.start.incarnation, fact.start.weights, fact.leaving).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns whether the reports alone show that there is nothing to do.
    fn nothing_to_do(&self) -> bool {
        self.is_settled(Some(&RolloutRecord::default()))
    }

    fn is_settled(&self, record: Option<&RolloutRecord>) -> bool {
        let snapshot = self.inputs.configuration.borrow().clone();
        let facts = self.inputs.facts.borrow().clone();
        let unowned = |record: &&RolloutRecord| record.owner.is_empty();
        record.filter(unowned).is_some_and(|r| is_complete(&snapshot.state, &facts, r))
    }

    async fn own(&self, mut rollout: Box<Rollout<Owning>>) -> Stage {
        let snapshot = self.inputs.configuration.borrow().clone();
        let facts = self.inputs.facts.borrow().clone();
        match rollout.step(&snapshot.state, &facts, self.now_ms()) {
            Step::Wait => Stage::Owning(rollout),
            Step::Write(record) => self.replace(rollout, record).await,
            Step::Confirm => self.confirm(rollout).await,
            Step::Send(orders) => self.send(rollout, &snapshot, orders).await,
        }
    }

    async fn replace(&self, mut rollout: Box<Rollout<Owning>>, record: RolloutRecord) -> Stage {
        let expected = Expected::At(rollout.revision());
        let Some(revision) = self.write(expected, &record).await else {
            log::info!("event=rollout_lost fencing_number={}", record.fencing_number);
            return Stage::Watching(rollout.lost());
        };
        let released = record.owner.is_empty();
        rollout.written(record, revision, self.now_ms());
        if released { Stage::Watching(rollout.lost()) } else { Stage::Owning(rollout) }
    }

    async fn confirm(&self, mut rollout: Box<Rollout<Owning>>) -> Stage {
        let asked_ms = self.now_ms();
        match self.read().await {
            Ok((Some(record), _)) if record == *rollout.record() => {
                rollout.confirmed(asked_ms);
                Stage::Owning(rollout)
            }
            Ok(_) => Stage::Watching(rollout.lost()),
            Err(_) => Stage::Owning(rollout),
        }
    }

    async fn send(
        &self,
        mut rollout: Box<Rollout<Owning>>,
        snapshot: &Snapshot,
        orders: Vec<Order>,
    ) -> Stage {
        let mut sends = Vec::with_capacity(orders.len());
        for order in &orders {
            sends.push(self.orders.send(order).map(move |outcome| (order, outcome)).boxed());
        }
        let answers: Vec<(&Order, OrderOutcome)> =
            stream::iter(sends).buffer_unordered(ORDERS_AT_ONCE).collect().await;
        let mut raised = None;
        for (order, outcome) in answers {
            let Some(upstream) = snapshot.state.upstreams.get(order.engine) else { continue };
            let refused = matches!(outcome, OrderOutcome::Refused { .. });
            self.status.send_modify(|status| {
                status.orders_sent += 1;
                status.orders_refused += u64::from(refused);
            });
            let record = rollout.answered(order, &upstream.name, outcome, self.now_ms());
            let higher = |a: &RolloutRecord| a.fencing_number;
            raised = raised.into_iter().chain(record).max_by_key(higher);
        }
        match raised {
            Some(record) => self.replace(rollout, record).await,
            None => Stage::Owning(rollout),
        }
    }

    async fn read(&self) -> Result<(Option<RolloutRecord>, Option<Revision>), StoreError> {
        self.count_call();
        let entry = self.bounded(self.store.get(ROLLOUT_KEY)).await?;
        let revision = entry.as_ref().map(|entry| entry.revision);
        // A malformed record is replaced by the next claim, which loses nothing but its counts.
        let record = entry.and_then(|entry| RolloutRecord::decode(&entry.value));
        Ok((record, revision))
    }

    /// Swaps the record. Returns the revision if this write took effect; a lost answer is settled
    /// by reading back the writer and the sequence.
    async fn write(&self, expected: Expected, record: &RolloutRecord) -> Option<Revision> {
        self.count_call();
        let swap = self.store.swap(ROLLOUT_KEY, expected, record.encode(), None);
        match self.bounded(swap).await {
            Ok(Swap::Done(revision)) => Some(revision),
            Ok(Swap::Conflict(_)) => None,
            Err(error) if error.may_have_taken_effect() => {
                let (found, revision) = self.read().await.ok()?;
                revision.filter(|_| found.as_ref() == Some(record))
            }
            Err(_) => None,
        }
    }

    async fn bounded<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let late = || StoreError::ResponseLost { reason: "no answer in time".to_owned() };
        timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| Err(late()))
    }

    fn count_call(&self) {
        self.status.send_modify(|status| status.store_calls += 1);
    }

    fn publish(&self, stage: &Stage) {
        self.status.send_modify(|status| match stage {
            Stage::Watching(_) => status.owning = false,
            Stage::Owning(rollout) => {
                let record = rollout.record();
                status.owning = true;
                status.fencing_number = record.fencing_number;
                status.loading = record.loads.iter().map(|load| load.engine.clone()).collect();
            }
        });
    }
}
