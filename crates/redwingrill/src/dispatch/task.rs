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

/// How often deadlines and pauses are looked at.
const TICK: Duration = Duration::from_millis(20);

/// How the dispatch task decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatchOptions {
    /// How engines are chosen.
    pub policy: Policy,
    /// The seed of random choices.
    pub seed: u64,
}

/// The dispatch task before it runs.
#[derive(Debug)]
pub struct Dispatch {
    messages: mpsc::UnboundedReceiver<Message>,
    weak: WeakDispatcher,
    configuration: watch::Receiver<Arc<Snapshot>>,
    origin: Instant,
    core: Core,
    facts: EngineReportHub,
}

impl Dispatch {
    /// Makes the task and the way to it.
    pub fn new(
        options: DispatchOptions,
        configuration: watch::Receiver<Arc<Snapshot>>,
    ) -> (Dispatcher, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let weak = WeakDispatcher::new(&sender);
        let core = Core::new(options.policy, options.seed);
        let facts = EngineReportHub::default();
        let origin = Instant::now();
        let task = Self { messages, weak, configuration, origin, core, facts };
        (Dispatcher::new(sender), task)
    }

    /// Makes the task that asks engines for their load. It ends with the last [`Dispatcher`].
    /// While `is_active` is false it rests.
    pub fn load_poll(&self, pool: Pool, is_active: Arc<AtomicBool>) -> LoadPoll {
        LoadPoll::new(pool, self.configuration.clone(), self.weak.clone(), is_active)
    }

    /// Returns what engines report of themselves, as the roll-out needs it.
    pub fn facts(&self) -> EngineReportHub {
        self.facts.clone()
    }

    /// Runs until every [`Dispatcher`] and ticket is gone.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let snapshot = self.configuration.borrow_and_update().clone();
        self.core.configure(snapshot);
        let mut is_followed = true;
        loop {
            tokio::select! {
                biased;
                changed = self.configuration.changed(), if is_followed => {
                    is_followed = changed.is_ok();
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
            Message::Admit { ticket, ask, reply } => self.core.admit(ticket, ask, reply, now_ms),
            Message::Replace { ticket, fault, reply } => {
                self.core.replace(ticket, fault, reply, now_ms);
            }
            Message::FirstToken { ticket, start } => self.core.first_token(ticket, start, now_ms),
            Message::Ended { ticket, usage } => self.core.end(ticket, usage, now_ms),
            Message::EngineLoad(report) => {
                let observed_ms = self.ms_at(report.observed);
                self.core.observe(&report, observed_ms, now_ms);
                self.facts.observe(report.upstream, (&report).into(), report.observed);
            }
            Message::Leaving { upstreams } => self.core.set_leaving(upstreams),
            Message::DemandElsewhere { demands } => self.core.limits.set_remote_demand(demands),
            Message::TopAccounts { limit, reply } => {
                let _gone = reply.send(self.core.limits.top_accounts(limit, now_ms)).is_err();
            }
            Message::Dump { reply } => {
                let _gone = reply.send(self.core.state(now_ms)).is_err();
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
