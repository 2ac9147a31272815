//! The task that runs the roll-out.
//!
//! The task makes no store call while all engines that report serve the desired weights.

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

use crate::CommandOutcome;
use crate::CommandSender;
use crate::EngineCommand;
use crate::EngineReports;
use crate::ROLLOUT_KEY;
use crate::RolloutRecord;
use crate::RolloutStatus;
use crate::ownership::Owning;
use crate::ownership::Rollout;
use crate::ownership::Step;
use crate::ownership::Watching;
use crate::plan::is_complete;
use redwingrill_config::Snapshot;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// The time between two steps of an owner.
const OWNER_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two steps of a node that does not own the roll-out.
const WATCH_INTERVAL: Duration = Duration::from_secs(4);

/// The timeout of a call to the store.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The limit of commands in flight.
const PARALLEL_COMMANDS: usize = 16;

/// The inputs of the roll-out.
#[derive(Clone, Debug)]
pub struct RolloutInputs {
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    /// The latest engine reports.
    pub reports: watch::Receiver<Arc<EngineReports>>,
    /// The rank of the node among the live nodes; the node of rank zero claims first. Nodes may
    /// disagree on the ranks.
    pub rank: watch::Receiver<usize>,
}

/// The roll-out task of one node.
#[derive(Debug)]
pub struct RolloutTask<S, C> {
    store: S,
    sender: C,
    inputs: RolloutInputs,
    status: watch::Sender<RolloutStatus>,
    started: Instant,
    // The hash of the inputs for which the roll-out was last found complete.
    completed_inputs_hash: Option<u64>,
}

enum Stage {
    Watching(Rollout<Watching>),
    Owning(Box<Rollout<Owning>>),
}

impl<S: Store, C: CommandSender> RolloutTask<S, C> {
    /// Creates the task and a receiver of its status.
    pub fn new(
        store: S,
        sender: C,
        inputs: RolloutInputs,
    ) -> (Self, watch::Receiver<RolloutStatus>) {
        let status = watch::Sender::new(RolloutStatus::default());
        let reader = status.subscribe();
        (
            Self {
                store,
                sender,
                inputs,
                status,
                started: Instant::now(),
                completed_inputs_hash: None,
            },
            reader,
        )
    }

    /// Runs until cancelled. `node` is the name of the node, `run_id` a random number that
    /// identifies this process.
    pub async fn run(mut self, node: &str, run_id: u64, cancel: CancellationToken) {
        tokio::select! {
            biased;
            () = cancel.cancelled() => {}
            () = self.run_steps(node, run_id) => {}
        }
    }

    async fn run_steps(&mut self, node: &str, run_id: u64) {
        let mut stage = Stage::Watching(Rollout::new(node, run_id));
        loop {
            let interval = match stage {
                Stage::Watching(_) => WATCH_INTERVAL,
                Stage::Owning(_) => OWNER_INTERVAL,
            };
            tokio::time::sleep(interval).await;
            stage = match stage {
                Stage::Watching(rollout) => self.step_watching(rollout).await,
                Stage::Owning(rollout) => self.step_owning(rollout).await,
            };
            self.publish(&stage);
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn step_watching(&mut self, mut rollout: Rollout<Watching>) -> Stage {
        let rank = *self.inputs.rank.borrow();
        let inputs_hash = self.inputs_hash();
        if !Rollout::is_candidate(rank)
            || self.completed_inputs_hash == Some(inputs_hash)
            || self.is_idle()
        {
            return Stage::Watching(rollout);
        }
        let Ok((record, revision)) = self.read_record().await else {
            return Stage::Watching(rollout);
        };
        if self.is_finished(record.as_ref()) {
            self.completed_inputs_hash = Some(inputs_hash);
            return Stage::Watching(rollout);
        }
        let Some(claim) = rollout.observe(record.as_ref(), rank, self.now_ms()) else {
            return Stage::Watching(rollout);
        };
        let expected = revision.map_or(Expected::Absent, Expected::At);
        match self.write_record(expected, &claim).await {
            Some(revision) => {
                log::info!("event=rollout_claimed fencing_number={}", claim.fencing_number);
                Stage::Owning(Box::new(rollout.into_owning(claim, revision, self.now_ms())))
            }
            None => Stage::Watching(rollout),
        }
    }

    /// Returns a hash of the inputs that determine whether there is work to do.
    fn inputs_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.inputs.configuration.borrow().generation.hash(&mut hasher);
        for (id, report) in self.inputs.reports.borrow().iter() {
            (id, report.start.incarnation, report.start.weights, report.leaving).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns whether the engine reports alone show that there is no work to do.
    fn is_idle(&self) -> bool {
        self.is_finished(Some(&RolloutRecord::default()))
    }

    fn is_finished(&self, record: Option<&RolloutRecord>) -> bool {
        let snapshot = self.inputs.configuration.borrow().clone();
        let reports = self.inputs.reports.borrow().clone();
        let is_unowned = |record: &&RolloutRecord| record.owner.is_empty();
        record.filter(is_unowned).is_some_and(|r| is_complete(&snapshot.state, &reports, r))
    }

    async fn step_owning(&self, mut rollout: Box<Rollout<Owning>>) -> Stage {
        let snapshot = self.inputs.configuration.borrow().clone();
        let reports = self.inputs.reports.borrow().clone();
        match rollout.step(&snapshot.state, &reports, self.now_ms()) {
            Step::Wait => Stage::Owning(rollout),
            Step::Write(record) => self.replace(rollout, record).await,
            Step::Confirm => self.confirm(rollout).await,
            Step::Send(commands) => self.send(rollout, &snapshot, commands).await,
        }
    }

    async fn replace(&self, mut rollout: Box<Rollout<Owning>>, record: RolloutRecord) -> Stage {
        let expected = Expected::At(rollout.revision());
        let Some(revision) = self.write_record(expected, &record).await else {
            log::info!("event=rollout_lost fencing_number={}", record.fencing_number);
            return Stage::Watching(rollout.into_watching());
        };
        let released = record.owner.is_empty();
        rollout.record_written(record, revision, self.now_ms());
        if released { Stage::Watching(rollout.into_watching()) } else { Stage::Owning(rollout) }
    }

    async fn confirm(&self, mut rollout: Box<Rollout<Owning>>) -> Stage {
        let read_started_ms = self.now_ms();
        match self.read_record().await {
            Ok((Some(record), _)) if record == *rollout.record() => {
                rollout.record_confirmed(read_started_ms);
                Stage::Owning(rollout)
            }
            Ok(_) => Stage::Watching(rollout.into_watching()),
            Err(_) => Stage::Owning(rollout),
        }
    }

    async fn send(
        &self,
        mut rollout: Box<Rollout<Owning>>,
        snapshot: &Snapshot,
        commands: Vec<EngineCommand>,
    ) -> Stage {
        let mut sends = Vec::with_capacity(commands.len());
        for command in &commands {
            sends.push(self.sender.send(command).map(move |outcome| (command, outcome)).boxed());
        }
        let outcomes: Vec<(&EngineCommand, CommandOutcome)> =
            stream::iter(sends).buffer_unordered(PARALLEL_COMMANDS).collect().await;
        let mut replacement = None;
        for (command, outcome) in outcomes {
            let Some(upstream) = snapshot.state.upstreams.get(command.engine) else { continue };
            let refused = matches!(outcome, CommandOutcome::Refused { .. });
            self.status.send_modify(|status| {
                status.orders_sent += 1;
                status.orders_refused += u64::from(refused);
            });
            let record = rollout.command_completed(command, &upstream.name, outcome, self.now_ms());
            let by_fencing_number = |a: &RolloutRecord| a.fencing_number;
            replacement = replacement.into_iter().chain(record).max_by_key(by_fencing_number);
        }
        match replacement {
            Some(record) => self.replace(rollout, record).await,
            None => Stage::Owning(rollout),
        }
    }

    async fn read_record(&self) -> Result<(Option<RolloutRecord>, Option<Revision>), StoreError> {
        self.count_call();
        let entry = self.with_timeout(self.store.get(ROLLOUT_KEY)).await?;
        let revision = entry.as_ref().map(|entry| entry.revision);
        // A malformed record is treated as absent. The next claim replaces it and loses only its
        // counters.
        let record = entry.and_then(|entry| RolloutRecord::decode(&entry.value));
        Ok((record, revision))
    }

    /// Replaces the record by compare-and-swap. Returns the revision if the write took effect. If
    /// the response is lost, reads the record back and compares it with the written one.
    async fn write_record(&self, expected: Expected, record: &RolloutRecord) -> Option<Revision> {
        self.count_call();
        let swap = self.store.swap(ROLLOUT_KEY, expected, record.encode(), None);
        match self.with_timeout(swap).await {
            Ok(Swap::Done(revision)) => Some(revision),
            Ok(Swap::Conflict(_)) => None,
            Err(error) if error.may_have_taken_effect() => {
                let (found, revision) = self.read_record().await.ok()?;
                revision.filter(|_| found.as_ref() == Some(record))
            }
            Err(_) => None,
        }
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let timed_out = || StoreError::ResponseLost {
            reason: "no response within the call timeout".to_owned(),
        };
        timeout(STORE_CALL_TIMEOUT, call).await.unwrap_or_else(|_| Err(timed_out()))
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
