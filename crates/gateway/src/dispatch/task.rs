//! The task that owns the scheduler.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Dispatcher;
use super::Purpose;
use super::dispatcher::Message;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::telemetry::Metrics;
use redwingrill_routing::Configuration;
use redwingrill_scheduling::scheduler::Ask;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::SchedulerOptions;
use redwingrill_scheduling::scheduler::WaitingRoom;

/// The pause that a caller is told whose request may not be sent again.
const BUDGET_PAUSE_MS: u64 = 500;

/// How often waiting requests are looked at while nothing else happens.
const PUMP_PERIOD: Duration = Duration::from_millis(20);

/// The dispatch task before it runs.
#[derive(Debug)]
pub struct DispatchTask {
    messages: mpsc::UnboundedReceiver<Message>,
    beliefs: watch::Receiver<Arc<ClusterView>>,
    scheduler: Scheduler,
    metrics: Metrics,
    waiting: WaitingRoom<oneshot::Sender<Choice>>,
    // Tells this start of the node from others in digests.
    node: u64,
}

impl DispatchTask {
    /// Makes the task and the way to it.
    pub fn new(
        options: SchedulerOptions,
        beliefs: watch::Receiver<Arc<ClusterView>>,
        metrics: Metrics,
    ) -> (Dispatcher, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let scheduler = Scheduler::new(options, now_ms());
        let task = Self {
            messages,
            beliefs,
            scheduler,
            metrics,
            waiting: WaitingRoom::default(),
            node: rand::random(),
        };
        (Dispatcher::new(sender), task)
    }

    /// Runs until `stopping`.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut is_followed = true;
        self.take_over();
        loop {
            tokio::select! {
                biased;
                () = stopping.cancelled() => return,
                changed = self.beliefs.changed(), if is_followed => {
                    is_followed = changed.is_ok();
                    self.take_over();
                }
                message = self.messages.recv() => match message {
                    Some(message) => {
                        let frees_room = message.frees_room();
                        self.handle(message);
                        if frees_room && !self.waiting.is_empty() {
                            self.pump();
                        }
                    }
                    None => return,
                },
                () = tokio::time::sleep(PUMP_PERIOD), if !self.waiting.is_empty() => self.pump(),
            }
        }
    }

    fn take_over(&mut self) {
        let beliefs = self.beliefs.borrow_and_update().clone();
        let now_ms = now_ms();
        self.scheduler.set_upstreams(beliefs.upstreams.clone(), now_ms);
        self.scheduler.set_loading(beliefs.loading());
        self.scheduler.set_members(beliefs.members.len());
        for (model, version) in &beliefs.named_versions {
            self.scheduler.name_version(model, *version, now_ms);
        }
        if let Some(configuration) = &beliefs.configuration {
            let cache_store = configuration.cache_store().map(|store| store.address);
            self.scheduler.set_cache_store(cache_store);
            self.scheduler.set_connection_limits(connection_limits(configuration));
            self.scheduler.set_cache_tokens(cache_tokens(configuration));
        }
    }

    fn handle(&mut self, message: Message) {
        let now_ms = now_ms();
        match message {
            Message::Count { service, prompt } => {
                self.scheduler.count_request(&service, now_ms);
                if let Some(prompt) = prompt {
                    self.scheduler.count_prompt(&prompt, now_ms);
                }
            }
            Message::Choose { ask, purpose, reply } => self.choose(*ask, purpose, reply, now_ms),
            Message::Head { index, model, load, version } => {
                self.scheduler.observe_head(index, model.as_deref(), load, version, now_ms);
            }
            Message::Read { assignment } => self.scheduler.prompt_read(&assignment, now_ms),
            Message::Ended { index, unread_tokens, held_tokens, outcome } => {
                if self.scheduler.ended(index, unread_tokens, held_tokens, &outcome, now_ms)
                    && let Some(entry) = self.scheduler.fleet().get(index)
                {
                    info!(
                        "event=upstream_rests upstream={} failure_share={:.2}",
                        entry.upstream.id,
                        entry.health.failure_share(),
                    );
                }
            }
            Message::Peer { digest } => self.scheduler.observe_peer(digest, now_ms),
            Message::Digest { reply } => {
                let _gone = reply.send(self.scheduler.digest(self.node, now_ms)).is_err();
            }
            Message::StoreChanged { changes } => {
                self.scheduler.cache_store_changed(changes, now_ms);
            }
            Message::StoreHeard { epoch } => self.scheduler.cache_store_heard(epoch),
            Message::RefuseWaiting => {
                let refused = self.waiting.refuse_all(&mut self.scheduler);
                info!("event=waiting_refused count={}", refused.len());
                self.give(refused);
            }
            Message::Dump { reply } => {
                let _gone = reply.send(self.dump(now_ms)).is_err();
            }
            Message::Loads { reply } => {
                let entries = self.scheduler.fleet().iter();
                let loads =
                    entries.map(|(_, entry)| (entry.upstream.id.clone(), entry.load(now_ms)));
                let _gone = reply.send(loads.collect()).is_err();
            }
        }
    }

    fn choose(&mut self, ask: Ask, purpose: Purpose, reply: oneshot::Sender<Choice>, now_ms: u64) {
        if purpose != Purpose::First {
            // A move that finds no room spends nothing.
            if purpose == Purpose::Move && !self.scheduler.has_room_now(&ask, now_ms) {
                self.answer(reply, refusal(RefusalCause::Overloaded));
                return;
            }
            let allowed = self.scheduler.try_repeat(&ask.service, now_ms);
            self.metrics.retry(&ask.service, allowed);
            if !allowed {
                self.answer(reply, refusal(RefusalCause::RepeatBudget));
                return;
            }
        }
        if purpose == Purpose::Move {
            let choice = self.scheduler.choose(&ask, now_ms);
            self.answer(reply, choice);
            return;
        }
        let answers = self.waiting.enter(&mut self.scheduler, ask, reply, now_ms);
        self.give(answers);
    }

    /// Gives out what room there is to the requests that wait.
    fn pump(&mut self) {
        let now_ms = now_ms();
        let is_gone = |reply: &oneshot::Sender<Choice>| reply.is_closed();
        let answers = self.waiting.pump(&mut self.scheduler, now_ms, is_gone);
        self.give(answers);
    }

    fn give(&mut self, answers: Vec<(oneshot::Sender<Choice>, Choice)>) {
        for (reply, choice) in answers {
            self.answer(reply, choice);
        }
    }

    fn answer(&mut self, reply: oneshot::Sender<Choice>, choice: Choice) {
        if let Err(Choice::Send(assignment)) = reply.send(choice) {
            // The request was withdrawn before it had its upstream.
            self.scheduler.withdraw(&assignment);
        }
    }

    fn dump(&self, now_ms: u64) -> serde_json::Value {
        let entries = self.scheduler.fleet().iter().map(|(index, entry)| {
            json!({
                "index": index.0,
                "id": entry.upstream.id,
                "service": entry.upstream.service,
                "in_flight": entry.in_flight,
                "unread_tokens": entry.unread_tokens,
                "load": entry.load(now_ms),
                "is_open": entry.is_open(now_ms),
                "is_loading": entry.is_loading,
                "health": entry.health,
            })
        });
        let verdict = self.scheduler.fleet().verify();
        json!({ "waiting": self.waiting.len(), "longest_wait_ms": self.waiting.longest_ms(now_ms),
            "upstreams": entries.collect::<Vec<_>>(), "fault": verdict.err() })
    }
}

fn refusal(cause: RefusalCause) -> Choice {
    Choice::Refuse { cause, retry_after_ms: BUDGET_PAUSE_MS }
}

fn connection_limits(configuration: &Configuration) -> Vec<(String, u32)> {
    let services = configuration.services();
    services.map(|service| (service.name.clone(), service.connections_limit)).collect()
}

fn cache_tokens(configuration: &Configuration) -> Vec<(String, u64)> {
    let services = configuration.services();
    let engines =
        services.filter_map(|service| Some((service.name.clone(), service.engine.as_ref()?)));
    engines.map(|(name, engine)| (name, engine.cache_tokens)).collect()
}
