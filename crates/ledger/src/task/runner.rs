//! The loop of the ledger task.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::AttemptId;
use crate::ClockReading;
use crate::ShardId;
use crate::layout::CallSlot;
use crate::layout::Completion;
use crate::layout::Layout;
use crate::layout::OperationError;
use crate::layout::OperationId;
use crate::layout::StoreCall;
use crate::layout::StoreResponse;
use crate::layout::Submission;
use crate::record::Action;
use crate::record::Operation;
use crate::record::Verdict;
use crate::task::Admission;
use crate::task::ForwardError;
use crate::task::Ledger;
use crate::task::LedgerConfig;
use crate::task::LedgerCounters;
use crate::task::LedgerState;
use crate::task::ShardOwners;
use crate::task::WallClock;
use crate::task::message::Message;
use crate::task::message::Origin;
use crate::task::running::RunningOrders;
use crate::task::store_calls::run_call;
use redwingrill_ports::Store;

/// The maximum time between two runs of the loop, so that a pause of the process can be detected.
const WAKE_INTERVAL_MS: u64 = 1_000;

type ReplySender = oneshot::Sender<Result<Verdict, OperationError>>;

/// The receiver of an operation's result.
#[derive(Debug)]
enum Waiter {
    Caller(ReplySender),
    /// A finish or withdrawal; its order is released when the operation completes.
    Outcome {
        attempt: AttemptId,
        recorded: oneshot::Sender<()>,
    },
}

/// An operation forwarded to the owner of its shard.
#[derive(Debug)]
struct Forwarded {
    operation_id: OperationId,
    operation: Operation,
    deadline_ms: u64,
}

/// The completion of a call to the store or to a peer.
enum Event {
    Store(CallSlot, StoreResponse),
    Owner(Forwarded, Result<Result<Verdict, OperationError>, ForwardError>),
}

/// The ledger task of one node.
pub struct LedgerTask<S, L, H> {
    store: S,
    layout: L,
    owners: H,
    config: LedgerConfig,
    clock: WallClock,
    shards: u16,
    started: Instant,
    messages: mpsc::UnboundedReceiver<Message>,
    jobs: FuturesUnordered<BoxFuture<'static, Event>>,
    waiters: BTreeMap<OperationId, Waiter>,
    next_operation_id: u64,
    running: RunningOrders,
    windows: BTreeMap<Arc<str>, u64>,
    maintain_at_ms: u64,
    /// When the loop last ran, to detect pauses of the process.
    last_run: ClockReading,
    quarantine_until_ms: u64,
    draining: Vec<oneshot::Sender<()>>,
    is_draining: bool,
    counters: LedgerCounters,
}

impl<S: Store, L: Layout, H: ShardOwners> LedgerTask<S, L, H> {
    /// Creates a task and its handle. `shards` is the layout's number of shards per service.
    pub fn new(
        store: S,
        layout: L,
        owners: H,
        shards: u16,
        config: LedgerConfig,
        clock: WallClock,
    ) -> (Ledger, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let handle = Ledger { messages: sender, config, clock: clock.clone() };
        let last_run = ClockReading { monotonic_ms: 0, wall_ms: clock.now_ms() };
        let task = Self {
            store,
            layout,
            owners,
            config,
            clock,
            shards,
            started: Instant::now(),
            messages,
            jobs: FuturesUnordered::new(),
            waiters: BTreeMap::new(),
            next_operation_id: 0,
            running: RunningOrders::default(),
            windows: BTreeMap::new(),
            maintain_at_ms: config.maintain_interval_ms,
            last_run,
            quarantine_until_ms: 0,
            draining: Vec::new(),
            is_draining: false,
            counters: LedgerCounters::default(),
        };
        (handle, task)
    }

    /// Runs until all handles are dropped and no operation is pending.
    pub async fn run(mut self) {
        let mut is_open = true;
        while is_open || !self.waiters.is_empty() {
            let wake_at_ms = self.start_due_calls();
            let next_tick_ms = self.last_run.monotonic_ms + WAKE_INTERVAL_MS;
            let wake_at_ms = wake_at_ms.map_or(next_tick_ms, |at_ms| at_ms.min(next_tick_ms));
            let wake_at = self.started + Duration::from_millis(wake_at_ms);
            tokio::select! {
                biased;
                message = self.messages.recv(), if is_open => match message {
                    Some(message) => self.handle_message(message),
                    None => {
                        is_open = false;
                        self.layout.flush();
                    }
                },
                Some(event) = self.jobs.next(), if !self.jobs.is_empty() => self.handle_event(event),
                () = tokio::time::sleep_until(wake_at) => {}
            }
        }
    }

    fn now(&self) -> ClockReading {
        let monotonic_ms = self.started.elapsed().as_millis() as u64;
        ClockReading { monotonic_ms, wall_ms: self.clock.now_ms() }
    }

    /// Records that the task runs, and starts the quarantine if the process was paused before.
    fn check_for_pause(&mut self) -> ClockReading {
        let now = self.now();
        let gap_ms = now.since_ms(self.last_run);
        if gap_ms > self.config.pause_limit_ms {
            log::warn!("event=ledger_was_paused gap_ms={gap_ms}");
            self.quarantine_until_ms = now.monotonic_ms + self.config.quarantine_ms;
        }
        self.last_run = now;
        now
    }

    /// Starts all calls that are due. Returns when to run again, on the monotonic clock.
    fn start_due_calls(&mut self) -> Option<u64> {
        let mut now = self.check_for_pause();
        self.maintain(now);
        loop {
            while let Some((slot, call)) = self.layout.next_call(now) {
                self.start_call(slot, call);
            }
            self.deliver_completions();
            now = self.now();
            let wake_at_ms = self.layout.next_wake_ms(now);
            if wake_at_ms.is_none_or(|at_ms| at_ms > now.monotonic_ms) {
                self.notify_drained();
                let maintain_at_ms = (!self.windows.is_empty()).then_some(self.maintain_at_ms);
                return [wake_at_ms, maintain_at_ms].into_iter().flatten().min();
            }
        }
    }

    fn maintain(&mut self, now: ClockReading) {
        if now.monotonic_ms < self.maintain_at_ms {
            return;
        }
        self.maintain_at_ms = now.monotonic_ms + self.config.maintain_interval_ms;
        for (service, window_ms) in &self.windows {
            for index in 0..self.shards {
                let shard = ShardId { service: service.clone(), index };
                if self.owners.owner_of(&shard).is_none() {
                    self.layout.maintain(&shard, *window_ms, now);
                }
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Admit { request, reply } => {
                let now = self.check_for_pause();
                let admission = if now.monotonic_ms < self.quarantine_until_ms {
                    Admission::Paused
                } else {
                    self.running.admit(request)
                };
                // If the receiver was dropped, the order's guard withdraws or releases the order.
                let _ = reply.send(admission);
            }
            Message::Apply { operation, within_ms, origin, reply } => {
                self.remember_window(&operation);
                self.submit_operation(operation, within_ms, origin, Waiter::Caller(reply));
            }
            Message::Settle { operation, window_ms, recorded } => {
                self.windows.insert(operation.key.service.clone(), window_ms);
                let Operation { key, attempt, action } = &operation;
                match action {
                    Action::Finish(outcome) => self.running.finish(key, *attempt, outcome),
                    Action::Withdraw(_) => self.running.withdraw(key, *attempt),
                    Action::Claim(_) => {}
                }
                let waiter = Waiter::Outcome { attempt: operation.attempt, recorded };
                let within_ms = self.config.settle_deadline_ms;
                self.submit_operation(operation, within_ms, Origin::Request, waiter);
            }
            Message::Release { key, attempt } => self.running.release(&key, attempt),
            Message::Dump { reply } => {
                let _ = reply.send(self.state());
            }
            Message::Abandon => self.abandon(),
            Message::Drain { reply } => {
                self.is_draining = true;
                self.layout.flush();
                self.draining.push(reply);
            }
        }
    }

    /// Drops all pending operations and accepts no more messages.
    fn abandon(&mut self) {
        if !self.waiters.is_empty() {
            log::warn!("event=ledger_abandoned unsettled={}", self.waiters.len());
        }
        self.waiters.clear();
        self.messages.close();
    }

    fn remember_window(&mut self, operation: &Operation) {
        if let Action::Claim(claim) = &operation.action {
            self.windows.insert(operation.key.service.clone(), claim.window_ms);
        }
    }

    fn submit_operation(
        &mut self,
        operation: Operation,
        within_ms: u64,
        origin: Origin,
        waiter: Waiter,
    ) {
        let operation_id = OperationId(self.next_operation_id);
        self.next_operation_id += 1;
        self.waiters.insert(operation_id, waiter);
        let now = self.now();
        let deadline_ms = now.monotonic_ms + within_ms;
        let owner = match origin {
            Origin::Request => self.owners.owner_of(&operation.key.shard(self.shards)),
            Origin::Peer => None,
        };
        match owner {
            Some(owner) => self.forward(owner, Forwarded { operation_id, operation, deadline_ms }),
            None => {
                let submission =
                    Submission { operation_id, operation, deadline_ms, forwarded: false };
                self.layout.submit(submission, now);
            }
        }
    }

    fn forward(&mut self, owner: String, forwarded: Forwarded) {
        let owners = self.owners.clone();
        let timeout_ms = match forwarded.operation.action {
            Action::Claim(_) => self.config.forward_timeout_ms,
            Action::Finish(_) | Action::Withdraw(_) => self.config.forward_settle_timeout_ms,
        };
        let job = async move {
            let call = owners.forward(&owner, forwarded.operation.clone(), timeout_ms);
            let response = tokio::time::timeout(Duration::from_millis(timeout_ms), call).await;
            Event::Owner(forwarded, response.unwrap_or(Err(ForwardError::Lost)))
        };
        self.jobs.push(job.boxed());
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Store(slot, response) => {
                let now = self.now();
                self.layout.handle_response(slot, response, now);
            }
            Event::Owner(forwarded, Ok(Ok(verdict))) => {
                self.counters.forwarded += 1;
                let Forwarded { operation_id, operation, .. } = forwarded;
                self.complete(Completion { operation_id, key: operation.key, result: Ok(verdict) });
            }
            Event::Owner(forwarded, failed) => {
                self.counters.forwards_failed += 1;
                let not_applied = [Err(ForwardError::NotSent), Ok(Err(OperationError::NotWritten))];
                let maybe_applied = !not_applied.contains(&failed);
                let Forwarded { operation_id, operation, deadline_ms } = forwarded;
                let submission =
                    Submission { operation_id, operation, deadline_ms, forwarded: maybe_applied };
                let now = self.now();
                self.layout.submit(submission, now);
            }
        }
    }

    fn start_call(&mut self, slot: CallSlot, call: StoreCall) {
        let store = self.store.clone();
        let timeout = Duration::from_millis(self.config.call_timeout_ms);
        let job = async move { Event::Store(slot, run_call(&store, call, timeout).await) };
        self.jobs.push(job.boxed());
    }

    fn deliver_completions(&mut self) {
        for completion in self.layout.take_completions() {
            self.complete(completion);
        }
    }

    fn complete(&mut self, completion: Completion) {
        match &completion.result {
            Ok(_) => self.counters.settled += 1,
            Err(OperationError::NotWritten) => self.counters.not_written += 1,
            Err(OperationError::MaybeWritten) => self.counters.maybe_written += 1,
        }
        match self.waiters.remove(&completion.operation_id) {
            Some(Waiter::Caller(reply)) => {
                // If the receiver was dropped, the order's guard withdraws or releases the order.
                let _ = reply.send(completion.result);
            }
            Some(Waiter::Outcome { attempt, recorded }) => {
                if completion.result.is_ok() {
                    // The request may no longer wait for the result.
                    let _ = recorded.send(());
                } else {
                    log::warn!(
                        "event=order_not_settled service={} key={}",
                        completion.key.service,
                        completion.key.hash
                    );
                }
                self.running.release(&completion.key, attempt);
            }
            None => {}
        }
    }

    fn notify_drained(&mut self) {
        if self.waiters.is_empty() {
            for reply in self.draining.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    fn state(&self) -> LedgerState {
        LedgerState {
            layout: self.layout.state(),
            running: self.running.len(),
            finishing: self.running.finishing(),
            draining: self.is_draining,
            counters: self.counters,
        }
    }
}
