//! The task that owns the state of admission and placement.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::core::Core;
use super::load_poll::LoadPoll;
use super::messages::Dispatcher;
use super::messages::Message;
use super::messages::WeakDispatcher;
use crate::configuration::EngineReportHub;
use redwingrill_config::Snapshot;
use redwingrill_placement::placer::Policy;
use redwingrill_transport::Pool;

/// How often deadlines and pauses are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Options of the dispatch task.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatchOptions {
    /// The placement policy.
    pub policy: Policy,
    /// The seed of random choices.
    pub seed: u64,
}

/// The dispatch task, started by [`Dispatch::run`].
#[derive(Debug)]
pub struct Dispatch {
    messages: mpsc::UnboundedReceiver<Message>,
    weak: WeakDispatcher,
    configuration: watch::Receiver<Arc<Snapshot>>,
    origin: Instant,
    core: Core,
    engine_reports: EngineReportHub,
}

impl Dispatch {
    /// Creates the task and its handle.
    pub fn new(
        options: DispatchOptions,
        configuration: watch::Receiver<Arc<Snapshot>>,
    ) -> (Dispatcher, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let weak = WeakDispatcher::new(&sender);
        let core = Core::new(options.policy, options.seed);
        let engine_reports = EngineReportHub::default();
        let origin = Instant::now();
        let task = Self { messages, weak, configuration, origin, core, engine_reports };
        (Dispatcher::new(sender), task)
    }

    /// Creates the task that polls the load of engines. It ends with the last [`Dispatcher`] and
    /// skips its polls while `is_active` is false.
    pub fn load_poll(&self, pool: Pool, is_active: Arc<AtomicBool>) -> LoadPoll {
        LoadPoll::new(pool, self.configuration.clone(), self.weak.clone(), is_active)
    }

    /// Returns the reports of engines, for the roll-out.
    pub fn engine_reports(&self) -> EngineReportHub {
        self.engine_reports.clone()
    }

    /// Runs until every [`Dispatcher`] and ticket is dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let snapshot = self.configuration.borrow_and_update().clone();
        self.core.configure(snapshot);
        let mut is_configuration_open = true;
        loop {
            tokio::select! {
                biased;
                changed = self.configuration.changed(), if is_configuration_open => {
                    is_configuration_open = changed.is_ok();
                    let snapshot = self.configuration.borrow_and_update().clone();
                    self.core.configure(snapshot);
                }
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => {
                    let now_ms = self.now_ms();
                    self.core.tick(now_ms);
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.now_ms();
        match message {
            Message::Admit { ticket, request, response } => {
                self.core.admit(ticket, request, response, now_ms)
            }
            Message::Replace { ticket, fault, response } => {
                self.core.replace(ticket, fault, response, now_ms);
            }
            Message::FirstToken { ticket, start } => self.core.first_token(ticket, start, now_ms),
            Message::Ended { ticket, usage } => self.core.end(ticket, usage, now_ms),
            Message::EngineLoad(report) => {
                let observed_ms = self.ms_at(report.observed);
                self.core.observe(&report, observed_ms, now_ms);
                self.engine_reports.observe(report.upstream, (&report).into(), report.observed);
            }
            Message::Leaving { upstreams } => self.core.set_leaving(upstreams),
            Message::RemoteDemand { demands } => self.core.limits.set_remote_demand(demands),
            Message::TopAccounts { limit, response } => {
                let _disconnected =
                    response.send(self.core.limits.top_accounts(limit, now_ms)).is_err();
            }
            Message::Explain { request, response } => {
                let _disconnected = response.send(self.core.explain(&request, now_ms)).is_err();
            }
            Message::Dump { response } => {
                let _disconnected = response.send(self.core.state(now_ms)).is_err();
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.ms_at(Instant::now())
    }

    fn ms_at(&self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.origin).as_millis() as u64
    }
}
