//! The task that owns the scheduler.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::DecisionView;
use super::Dispatcher;
use super::PeerMessage;
use super::Purpose;
use super::QuotaNode;
use super::UpstreamLoad;
use super::account_quotas::AccountQuotas;
use super::charge::ChargeResponder;
use super::dispatcher::AttemptEvidence;
use super::dispatcher::Message;
use super::dispatcher::Responder;
use super::dispatcher::WeakDispatcher;
use super::stream_origins::StreamOrigins;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::quarantine::log_event;
use crate::store_sync::StoreReader;
use crate::telemetry::Metrics;
use redwingrill_admission::limits::fleet::Decided;
use redwingrill_admission::limits::fleet::QuotaCharge;
use redwingrill_admission::limits::fleet::QuotaDecision;
use redwingrill_admission::limits::fleet::QuotaOptions;
use redwingrill_routing::AccountTag;
use redwingrill_routing::Configuration;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamSignals;
use redwingrill_scheduling::coordination::Coordination;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::coordination::RequestOptions;
use redwingrill_scheduling::coordination::Resolution;
use redwingrill_scheduling::coordination::Resolved;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::quarantine::BrokenAttempt;
use redwingrill_scheduling::quarantine::CompletedAttempt;
use redwingrill_scheduling::quarantine::HeldPart;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::RequestTag;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::SchedulerOptions;
use redwingrill_scheduling::scheduler::Shortage;
use redwingrill_scheduling::scheduler::WaitQueue;
use redwingrill_scheduling::signals::GateChange;
use redwingrill_scheduling::stream_origins::ResolvedOrigin;

/// The retry-after of a request that is refused because its retry or move is not possible.
const BUDGET_RETRY_AFTER_MS: u64 = 500;

/// How often the learned model is logged.
const MODEL_LOG_PERIOD_MS: u64 = 5_000;

/// The number of upstreams whose concurrency limit is logged and measured, the lowest first.
const LIMITS_REPORTED: usize = 32;

/// The number of messages to other nodes that wait to be sent; others are dropped, as if lost.
const OUTGOING_LIMIT: usize = 4_096;

/// How often the coordination takes over what the scheduler learned.
const FOLLOW_PERIOD_MS: u64 = 100;

/// How often what is due with time is done while anything waits.
const QUEUE_POLL_PERIOD: Duration = Duration::from_millis(20);

/// A request that waits for the assignment of a coordinator.
#[derive(Debug)]
struct Waiter {
    responder: Responder,
    purpose: Purpose,
}

/// The dispatch task.
#[derive(Debug)]
pub struct DispatchTask {
    messages: mpsc::UnboundedReceiver<Message>,
    // Of this task, for the attempts that it hands over.
    dispatcher: WeakDispatcher,
    view: watch::Receiver<Arc<ClusterView>>,
    scheduler: Scheduler,
    metrics: Metrics,
    // Requests that wait for capacity by this node's own choice.
    queue: WaitQueue<Responder>,
    coordination: Coordination<Waiter>,
    followed_ms: u64,
    // The quotas of accounts, if the node can limit any.
    quotas: Option<AccountQuotas>,
    origins: StreamOrigins,
    // To the other nodes, with the address of this one, if it takes part in the coordination.
    outgoing: Option<(SocketAddr, mpsc::Sender<(SocketAddr, PeerMessage)>)>,
    // Identifies this run of the node in digests.
    node_incarnation: u64,
    model_logged_ms: u64,
    // The quarantined parts that the store does not list.
    unlisted: watch::Sender<Vec<HeldPart>>,
    // Upstreams that rejected a request because of its expected upstream or weights.
    misdirected: mpsc::Sender<Arc<Upstream>>,
}

impl DispatchTask {
    /// Creates the task and its handle. Upstreams that reject a request because of its expected
    /// upstream or weights are sent to `misdirected`.
    pub fn new(
        options: SchedulerOptions,
        view: watch::Receiver<Arc<ClusterView>>,
        metrics: Metrics,
        misdirected: mpsc::Sender<Arc<Upstream>>,
    ) -> (Dispatcher, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let node_incarnation: u64 = rand::random();
        let coordination =
            Coordination::new(node_incarnation, options.failure_domain.clone(), rand::random());
        let scheduler = Scheduler::new(options);
        let dispatcher = Dispatcher::new(sender);
        let task = Self {
            messages,
            dispatcher: dispatcher.downgrade(),
            view,
            scheduler,
            metrics,
            queue: WaitQueue::default(),
            coordination,
            followed_ms: 0,
            quotas: None,
            origins: StreamOrigins::default(),
            outgoing: None,
            node_incarnation,
            model_logged_ms: now_ms(),
            unlisted: watch::Sender::default(),
            misdirected,
        };
        (dispatcher, task)
    }

    /// Returns the quarantined parts that the store does not list.
    pub fn unlisted_parts(&self) -> watch::Receiver<Vec<HeldPart>> {
        self.unlisted.subscribe()
    }

    /// Lets the node take part in the coordination, with `own_address` as its address for messages
    /// of the others. Returns the messages to send to them.
    pub fn coordinate(
        &mut self,
        own_address: SocketAddr,
    ) -> mpsc::Receiver<(SocketAddr, PeerMessage)> {
        let (sender, receiver) = mpsc::channel(OUTGOING_LIMIT);
        self.outgoing = Some((own_address, sender));
        receiver
    }

    /// Lets the task enforce the quotas of accounts; `reader` tells of the contact with the store.
    pub fn limit_accounts(&mut self, options: QuotaOptions, node: QuotaNode, reader: StoreReader) {
        let metrics = self.metrics.clone();
        let run = self.node_incarnation;
        self.quotas = Some(AccountQuotas::new(options, node, run, reader, metrics));
    }

    /// Lets the task notice when the node has lost the store.
    pub fn follow_store(&mut self, reader: StoreReader) {
        self.origins.follow_store(reader);
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut is_view_open = true;
        let mut poll = tokio::time::interval(QUEUE_POLL_PERIOD);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.apply_view();
        loop {
            let is_idle = self.queue.is_empty()
                && self.coordination.is_idle()
                && self.origins.directory.is_idle()
                && self.quotas.as_ref().is_none_or(|quotas| quotas.fleet.is_idle());
            tokio::select! {
                biased;
                () = stopping.cancelled() => return,
                changed = self.view.changed(), if is_view_open => {
                    is_view_open = changed.is_ok();
                    self.apply_view();
                }
                message = self.messages.recv() => match message {
                    Some(message) => {
                        let frees_capacity = message.may_free_capacity();
                        self.handle(message);
                        self.report_quarantine();
                        if frees_capacity && !self.queue.is_empty() {
                            self.serve_queue();
                        }
                    }
                    None => return,
                },
                _ = poll.tick(), if !is_idle => {
                    let is_abandoned = |waiter: &Waiter| waiter.responder.is_closed();
                    self.coordination.tick(&mut self.scheduler, now_ms(), is_abandoned);
                    if !self.queue.is_empty() {
                        self.serve_queue();
                    }
                    if let Some(quotas) = &mut self.quotas {
                        quotas.fleet.tick(now_ms());
                    }
                    self.origins.directory.tick(now_ms());
                }
            }
            self.finish_coordination();
            self.finish_quotas();
            self.finish_origins();
        }
    }

    /// Sends the messages of the coordination, and uses what it resolved.
    fn finish_coordination(&mut self) {
        let now_ms = now_ms();
        if now_ms.saturating_sub(self.followed_ms) >= FOLLOW_PERIOD_MS {
            self.follow_scheduler(now_ms);
        }
        for resolved in self.coordination.take_resolved() {
            self.resolve(resolved, now_ms);
        }
        let messages = self.coordination.take_outgoing();
        let messages = messages.into_iter();
        self.send_to_peers(messages.map(|(to, message)| (to, PeerMessage::Coordination(message))));
    }

    /// Sends the messages of the quotas, and returns their decisions.
    fn finish_quotas(&mut self) {
        let Some(quotas) = self.quotas.as_mut().filter(|quotas| quotas.fleet.has_output()) else {
            return;
        };
        let decided = quotas.fleet.take_decided();
        let messages = quotas.fleet.take_outgoing().into_iter();
        self.send_to_peers(messages.map(|(to, message)| (to, PeerMessage::Quota(message))));
        // Without another handle nobody waits for a decision.
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        for Decided { handle, decision } in decided {
            handle.respond(&dispatcher, decision);
        }
    }

    /// Sends the messages of the directory of stream origins, and returns what it found.
    fn finish_origins(&mut self) {
        let messages = self.origins.directory.take_outgoing().into_iter();
        self.send_to_peers(messages.map(|(to, message)| (to, PeerMessage::Origin(message))));
        for ResolvedOrigin { handle, resolution } in self.origins.directory.take_resolved() {
            let _disconnected = handle.send(resolution).is_err();
        }
    }

    fn send_to_peers(&self, messages: impl Iterator<Item = (SocketAddr, PeerMessage)>) {
        let Some((_, outgoing)) = &self.outgoing else { return };
        let lost = messages.filter_map(|message| outgoing.try_send(message).err()).count();
        if lost > 0 {
            info!("event=coordination_messages_dropped count={lost}");
        }
    }

    /// Charges a request, or admits it if no account is limited.
    fn charge(
        &mut self,
        account: AccountTag,
        tokens: u64,
        responder: ChargeResponder,
        now_ms: u64,
    ) {
        match &mut self.quotas {
            Some(quotas) => {
                quotas.follow_store();
                quotas.fleet.request(account, tokens, responder, now_ms);
            }
            None => {
                if let Some(dispatcher) = self.dispatcher.upgrade() {
                    let decision = QuotaDecision::Admitted(QuotaCharge::free(account));
                    responder.respond(&dispatcher, decision);
                }
            }
        }
    }

    fn follow_scheduler(&mut self, now_ms: u64) {
        self.followed_ms = now_ms;
        self.coordination.follow(&self.scheduler, now_ms);
    }

    /// Uses the outcome of a request for an assignment.
    fn resolve(&mut self, resolved: Resolved<Waiter>, now_ms: u64) {
        let Resolved { handle: Waiter { responder, purpose }, request, resolution } = resolved;
        self.metrics.assignment(resolution_name(&resolution));
        match resolution {
            Resolution::Assigned(assignment) => {
                let refused = self.scheduler.refuse_quarantined(&request, now_ms);
                let refused = refused.or_else(|| {
                    let needs_budget = purpose == Purpose::Move;
                    (needs_budget && !self.try_retry(&request.service, now_ms))
                        .then(|| refusal(RefusalCause::RepeatBudget))
                });
                match refused {
                    Some(refused) => {
                        self.release(&assignment);
                        self.send_choice(responder, refused);
                    }
                    None => self.send_choice(responder, Choice::Send(assignment)),
                }
            }
            Resolution::NoCapacity => {
                self.send_choice(responder, refusal(RefusalCause::Overloaded(Shortage::default())));
            }
            Resolution::Refused { cause, retry_after_ms } => {
                self.send_choice(responder, Choice::Refuse { cause, retry_after_ms });
            }
            Resolution::Undecided => self.choose_alone(request, purpose, responder, now_ms),
        }
    }

    fn try_retry(&mut self, service: &str, now_ms: u64) -> bool {
        let allowed = self.scheduler.try_retry(service, now_ms);
        self.metrics.retry(service, allowed);
        allowed
    }

    fn release(&mut self, assignment: &Assignment) {
        self.scheduler.release_assignment(assignment);
        self.record_change(assignment.index);
    }

    fn record_change(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.scheduler.fleet().get(index) {
            self.coordination.record_change(entry.tag);
        }
    }

    /// Logs what changed in the quarantine, and passes on what is to be written to the store.
    fn report_quarantine(&mut self) {
        let events = self.scheduler.quarantine_mut().take_events();
        if events.is_empty() {
            return;
        }
        for event in events {
            self.metrics.quarantine(log_event(&event));
        }
        self.publish_unlisted();
    }

    fn publish_unlisted(&mut self) {
        let unlisted = self.scheduler.quarantine_mut().unlisted();
        self.unlisted.send_if_modified(|known| {
            let is_changed = *known != unlisted;
            *known = unlisted;
            is_changed
        });
    }

    fn apply_view(&mut self) {
        let view = self.view.borrow_and_update().clone();
        let now_ms = now_ms();
        self.scheduler.set_upstreams(view.recorded_upstreams(), now_ms);
        self.scheduler.set_loading(view.loading());
        let names = view.members.iter().map(|member| member.name.clone()).collect();
        self.scheduler.set_member_names(names, now_ms);
        if let Some((own_address, _)) = &self.outgoing {
            let nodes = view.members.iter().map(GroupNode::from).collect();
            self.coordination.set_nodes(nodes, Some(*own_address));
        }
        if let Some(quotas) = &mut self.quotas {
            quotas.apply_view(&view, now_ms);
        }
        let own_address = self.outgoing.as_ref().map(|(own_address, _)| *own_address);
        self.origins.apply_view(&view, own_address, now_ms);
        self.scheduler.quarantine_mut().set_lapsed(&view.lapsed_quarantines);
        self.scheduler.quarantine_mut().set_listed(&view.quarantined, now_ms);
        self.report_quarantine();
        self.publish_unlisted();
        for (model, target) in &view.target_versions {
            let version = target.version;
            let is_new = match target.is_observed {
                true => self.scheduler.observe_target_version(model, version, now_ms),
                false => self.scheduler.discover_target_version(model, version, now_ms),
            };
            let records = view.grace_records.get(model).map_or(&[][..], Vec::as_slice);
            self.scheduler.set_grace_records(model, records, now_ms);
            if is_new {
                info!(
                    "event=weights_superseded model={model} version={} observed={} records={}",
                    version.0,
                    target.is_observed,
                    records.len(),
                );
            }
            self.metrics.outdated_engines(model, view.outdated_engines(model));
        }
        if let Some(configuration) = &view.configuration {
            let cache_store = configuration.cache_store().map(|store| store.address);
            self.scheduler.set_cache_store(cache_store);
            self.scheduler.set_connection_limits(connection_limits(configuration));
            self.scheduler.set_cache_tokens(cache_tokens(configuration));
        }
        self.follow_scheduler(now_ms);
    }

    fn handle(&mut self, message: Message) {
        let now_ms = now_ms();
        match message {
            Message::CountRequest { service, route, prompt, target_ms } => {
                self.scheduler.count_request(&service, now_ms);
                if let Some(prompt) = prompt {
                    self.scheduler.count_prompt(&service, route, &prompt, target_ms, now_ms);
                }
            }
            Message::Choose { request, purpose, responder } => {
                self.choose(*request, purpose, responder, now_ms)
            }
            Message::ResponseHead { index, model, load, version } => {
                self.scheduler.observe_response_head(
                    index,
                    model.as_deref(),
                    load,
                    version,
                    now_ms,
                );
            }
            Message::Signals { index, signals, sent_ms } => {
                self.observe_signals(index, &signals, sent_ms, now_ms);
            }
            Message::StreamEnded { index, service, longest_pause_ms, mean_pause_ms } => {
                self.scheduler.observe_pause(&service, longest_pause_ms);
                if let Some(mean_pause_ms) = mean_pause_ms {
                    self.scheduler.observe_mean_pause(index, mean_pause_ms, now_ms);
                }
            }
            Message::StreamBegan { key, origin } => {
                self.origins.record(key, &origin, now_ms);
            }
            Message::FindStream { key, responder } => {
                self.origins.directory.begin(key, responder, now_ms);
            }
            Message::Origin { from, message } => {
                self.origins.directory.receive(from, message, now_ms);
            }
            Message::Prefilled { assignment } => {
                self.scheduler.record_prefill_done(&assignment, now_ms);
                self.record_change(assignment.index);
            }
            Message::AttemptEnded { index, pending_prefill_tokens, reserved_tokens, outcome } => {
                self.record_change(index);
                if outcome.misdirection.is_some_and(|known| known != Misdirection::Ended) {
                    self.inquire_weights(index);
                }
                let effect = self.scheduler.record_attempt_end(
                    index,
                    pending_prefill_tokens,
                    reserved_tokens,
                    &outcome,
                    now_ms,
                );
                if effect.has_ended {
                    self.report_ended(index, "own");
                }
                if effect.is_ejected
                    && let Some(entry) = self.scheduler.fleet().get(index)
                {
                    info!(
                        "event=upstream_rests upstream={} failure_share={:.2}",
                        entry.upstream.id,
                        entry.health.failure_share(),
                    );
                }
            }
            Message::Weights { upstream, versions } => {
                self.scheduler.observe_weights(&upstream, &versions);
            }
            Message::AttemptBroken { evidence } => self.record_broken(&evidence, now_ms),
            Message::AttemptCompleted { evidence } => self.record_completed(&evidence, now_ms),
            Message::PeerDigest { from, digest } => {
                if let Some(quotas) = &mut self.quotas {
                    quotas.fleet.observe_peer(from, now_ms);
                }
                if let Some(stored) = &digest.cache_store {
                    self.coordination.merge_cache_store(stored, now_ms);
                }
                for index in self.scheduler.observe_peer(*digest, now_ms) {
                    self.report_ended(index, "peer");
                }
            }
            Message::Coordination { from, message } => {
                self.coordination.receive(&mut self.scheduler, from, *message, now_ms);
            }
            Message::Quota { from, message } => {
                if let Some(quotas) = &mut self.quotas {
                    quotas.follow_store();
                    quotas.fleet.receive(from, message, now_ms);
                }
            }
            Message::Charge { account, tokens, responder } => {
                self.charge(account, tokens, responder, now_ms);
            }
            Message::Refund { charge } => {
                self.metrics.quota_refunded();
                if let Some(quotas) = &mut self.quotas {
                    quotas.fleet.refund(&charge, now_ms);
                }
            }
            Message::Digest { responder } => {
                let _disconnected =
                    responder.send(self.scheduler.digest(self.node_incarnation, now_ms)).is_err();
                if now_ms.saturating_sub(self.model_logged_ms) >= MODEL_LOG_PERIOD_MS {
                    self.model_logged_ms = now_ms;
                    self.report_models();
                    if let Some(quotas) = &mut self.quotas {
                        quotas.follow_store();
                        quotas.log_state(now_ms);
                    }
                }
            }
            Message::CacheStoreChanged { changes } => {
                self.coordination.apply_cache_store_changes(&changes, now_ms);
                self.scheduler.apply_cache_store_changes(changes, now_ms);
            }
            Message::CacheStoreEpoch { epoch } => {
                self.coordination.set_cache_store_epoch(epoch);
                self.scheduler.set_cache_store_epoch(epoch);
            }
            Message::RefuseQueued => {
                for Resolved { handle, .. } in self.coordination.give_up_all() {
                    let refused = self.scheduler.refuse_stopping();
                    self.send_choice(handle.responder, refused);
                }
                let refused = self.queue.refuse_all(&mut self.scheduler);
                info!("event=queued_requests_refused count={}", refused.len());
                self.send_choices(refused);
            }
            Message::Dump { responder } => {
                let _disconnected = responder.send(self.dump(now_ms)).is_err();
            }
            Message::Explain { request, responder } => {
                let _disconnected = responder.send(self.explain(&request, now_ms)).is_err();
            }
            Message::Loads { responder } => {
                let _disconnected = responder.send(self.loads(now_ms)).is_err();
            }
        }
    }

    fn report_ended(&self, index: UpstreamIndex, source: &str) {
        let Some(entry) = self.scheduler.fleet().get(index) else { return };
        self.metrics.upstream_signal("ended");
        info!("event=upstream_ended upstream={} source={source}", entry.upstream.id);
    }

    /// Lets an engine be asked for its weights, since it rejected a request.
    fn inquire_weights(&self, index: UpstreamIndex) {
        if let Some(entry) = self.scheduler.fleet().get(index)
            && !entry.upstream.models.is_empty()
        {
            // One of several reports is enough.
            let _full = self.misdirected.try_send(entry.upstream.clone()).is_err();
        }
    }

    /// Takes what an upstream says of itself in an answer to a request that was sent at `sent_ms`.
    fn observe_signals(
        &mut self,
        index: UpstreamIndex,
        signals: &UpstreamSignals,
        sent_ms: u64,
        now_ms: u64,
    ) {
        // A malformed header says nothing, so it does not end a limit.
        let states_limit = signals.rate_limit.is_some() || signals.invalid.is_none();
        let change = states_limit
            .then(|| self.scheduler.observe_limit(index, signals.rate_limit, sent_ms, now_ms))
            .flatten();
        let is_first_invalid =
            signals.invalid.is_some() && self.scheduler.record_invalid_signal(index);
        let is_now_leaving = signals.is_leaving && self.scheduler.record_leaving(index, now_ms);
        let pause_ms = signals.retry_after.map(|pause| pause.as_millis() as u64);
        let is_now_paused =
            pause_ms.is_some_and(|pause_ms| self.scheduler.record_pause(index, pause_ms, now_ms));
        let Some(entry) = self.scheduler.fleet().get(index) else { return };
        let upstream = &entry.upstream.id;
        if is_now_paused {
            self.metrics.upstream_signal("paused");
            info!("event=upstream_paused upstream={upstream} pause_ms={pause_ms:?}");
        }
        if is_now_leaving {
            self.metrics.upstream_signal("leaving");
            info!("event=upstream_leaving upstream={upstream}");
        }
        if is_first_invalid {
            self.metrics.upstream_signal("invalid");
            info!("event=signal_invalid upstream={upstream} header={:?}", signals.invalid);
        }
        match change {
            Some(GateChange::Limited(limit)) => {
                let share_per_s = self.scheduler.limit_share_per_s(index).unwrap_or(0.0);
                self.metrics.upstream_signal("limited");
                info!(
                    "event=upstream_limited upstream={upstream} per_s={:.2} share_per_s={:.3}",
                    limit.per_s(),
                    share_per_s,
                );
            }
            Some(GateChange::Ended) => {
                self.metrics.upstream_signal("limit_ended");
                info!("event=upstream_limit_ended upstream={upstream}");
            }
            None => {}
        }
    }

    fn record_broken(&mut self, evidence: &AttemptEvidence, now_ms: u64) {
        let (service, prompt) = (&evidence.upstream.service, &evidence.prompt);
        let broken = BrokenAttempt {
            engine: UpstreamTag::of_start(&evidence.upstream),
            request: RequestTag::of(prompt),
            parts: &PartKey::shared_parts(service, prompt),
            sent_ms: evidence.sent_ms,
        };
        self.scheduler.quarantine_mut().record_broken((service, &prompt.model), &broken, now_ms);
    }

    fn record_completed(&mut self, evidence: &AttemptEvidence, now_ms: u64) {
        let completed = CompletedAttempt {
            engine: UpstreamTag::of_start(&evidence.upstream),
            parts: &PartKey::shared_parts(&evidence.upstream.service, &evidence.prompt),
            sent_ms: evidence.sent_ms,
        };
        self.scheduler.quarantine_mut().record_completed(&completed, now_ms);
    }

    fn choose(
        &mut self,
        request: ScheduleRequest,
        purpose: Purpose,
        responder: Responder,
        now_ms: u64,
    ) {
        let refusal_at_once = self.scheduler.refuse_too_large(&request);
        let refusal_at_once =
            refusal_at_once.or_else(|| self.scheduler.refuse_quarantined(&request, now_ms));
        let refusal_at_once =
            refusal_at_once.or_else(|| self.scheduler.refuse_without_software(&request, now_ms));
        if let Some(refusal) = refusal_at_once {
            self.send_choice(responder, refusal);
            return;
        }
        if purpose == Purpose::Retry && !self.try_retry(&request.service, now_ms) {
            self.send_choice(responder, refusal(RefusalCause::RepeatBudget));
            return;
        }
        if request.prompt.is_none() {
            self.choose_alone(request, purpose, responder, now_ms);
            return;
        }
        let waiter = Waiter { responder, purpose };
        let options = RequestOptions {
            may_wait: purpose != Purpose::Move,
            is_first: purpose == Purpose::First,
        };
        self.coordination.begin(&mut self.scheduler, request, waiter, options, now_ms);
    }

    /// Chooses an upstream without a coordinator.
    fn choose_alone(
        &mut self,
        request: ScheduleRequest,
        purpose: Purpose,
        responder: Responder,
        now_ms: u64,
    ) {
        if purpose == Purpose::Move {
            // A move without capacity is refused before it draws on the retry budget.
            let choice = if !self.scheduler.has_capacity_now(&request, now_ms) {
                refusal(RefusalCause::Overloaded(Shortage::default()))
            } else if !self.try_retry(&request.service, now_ms) {
                refusal(RefusalCause::RepeatBudget)
            } else {
                self.scheduler.choose(&request, now_ms)
            };
            self.send_choice(responder, choice);
            return;
        }
        let choices = self.queue.enqueue(&mut self.scheduler, request, responder, now_ms);
        self.send_choices(choices);
    }

    /// Assigns free capacity to queued requests.
    fn serve_queue(&mut self) {
        let now_ms = now_ms();
        let is_disconnected = |responder: &Responder| responder.is_closed();
        let choices = self.queue.dispatch(&mut self.scheduler, now_ms, is_disconnected);
        self.send_choices(choices);
    }

    fn send_choices(&mut self, choices: Vec<(Responder, Choice)>) {
        for (responder, choice) in choices {
            self.send_choice(responder, choice);
        }
    }

    fn send_choice(&mut self, responder: Responder, choice: Choice) {
        // Without another handle nobody waits for a response.
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            responder.respond(&dispatcher, choice);
        }
    }

    fn loads(&self, now_ms: u64) -> HashMap<String, UpstreamLoad> {
        let entries = self.scheduler.fleet().iter();
        let loads = entries.map(|(_, entry)| {
            let models = entry.upstream.models.iter().filter_map(|(model, _)| {
                let version = entry.version_of(model)?;
                Some((model.clone(), self.scheduler.usable_ms(model, version, now_ms)?))
            });
            let requests = entry.load(now_ms);
            (entry.upstream.id.clone(), UpstreamLoad { requests, usable_ms: models.collect() })
        });
        loads.collect()
    }

    /// Logs the learned times of each service and sets their metrics, and logs the coordination.
    fn report_models(&self) {
        let (requester, coordinator) =
            (self.coordination.requester(), self.coordination.coordinator());
        info!(
            "event=coordination requested={} suspects={} groups={} waiting={}",
            requester.pending(),
            requester.suspects(),
            coordinator.group_count(),
            coordinator.waiting(),
        );
        for (service, model) in self.scheduler.models() {
            let (curve, times) = (model.curve(), model.times());
            info!(
                "event=engine_model service={service} base_ms={:.1} ms_per_1k_tokens={:.2} \
                 ms_per_1m_pairs={:.3} samples={:.0} fetch_ms_per_1k_tokens={:.2} \
                 urgent_target_ms={:.0} short_cost_ms={:.1} long_cost_ms={:.1}",
                curve.base_ms,
                curve.ms_per_1k_tokens,
                curve.ms_per_1m_pairs,
                model.fit().samples(),
                times.fetch_ms(1_000),
                times.urgent_target_ms,
                model.short_cost_ms(),
                model.long_cost_ms(),
            );
            self.metrics.engine_model(service, curve);
        }
        self.report_limits();
    }

    /// Logs the upstreams that handle less at once than they have slots.
    fn report_limits(&self) {
        let entries = self.scheduler.fleet().iter().map(|(_, entry)| entry);
        let limits = entries.map(|entry| (entry, self.scheduler.concurrency_limit(entry)));
        let mut limited: Vec<_> = limits.filter(|(entry, limit)| *limit < entry.slots()).collect();
        limited.sort_by_key(|(entry, limit)| (*limit, entry.upstream.id.clone()));
        limited.truncate(LIMITS_REPORTED);
        self.metrics.engine_limits(limited.iter().map(|(e, l)| (e.upstream.id.as_str(), *l)));
        for (entry, limit) in limited {
            info!(
                "event=engine_limit upstream={} service={} limit={limit} slots={}",
                entry.upstream.id,
                entry.upstream.service,
                entry.slots(),
            );
        }
    }

    /// Explains the decision on a request. A node that is not the coordinator tells what it would
    /// decide by itself.
    fn explain(&self, request: &ScheduleRequest, now_ms: u64) -> DecisionView {
        let planned = match request.prompt {
            Some(_) => self.coordination.explain(&self.scheduler, request, now_ms),
            None => None,
        };
        let (inquiry, explanation) =
            planned.map_or((None, None), |(inquiry, explanation)| (Some(inquiry), explanation));
        let is_coordinator = explanation.is_some();
        let explanation =
            explanation.unwrap_or_else(|| self.queue.explain(&self.scheduler, request, now_ms));
        DecisionView { inquiry, is_coordinator, explanation }
    }

    fn dump(&self, now_ms: u64) -> serde_json::Value {
        let entries = self.scheduler.fleet().iter().map(|(index, entry)| {
            json!({
                "index": index.0,
                "id": entry.upstream.id,
                "service": entry.upstream.service,
                "in_flight": entry.in_flight,
                "unread_tokens": entry.pending_prefill_tokens,
                "load": entry.load(now_ms),
                "is_open": self.scheduler.fleet().accepts_requests(entry, now_ms),
                "is_loading": entry.is_loading,
                "is_leaving": entry.signals.leaving_since_ms.is_some(),
                "paused_ms": entry.signals.paused_until_ms.saturating_sub(now_ms),
                "limit_per_s": entry.signals.gate.limit().map(|limit| limit.per_s()),
                "limit_share_per_s": self.scheduler.limit_share_per_s(index),
                "health": entry.health,
                "time_factor": entry.speed.time_factor(),
                "speed_class_factor": entry.speed.class().time_factor(),
                "slots": entry.slots(),
                "concurrency_limit": self.scheduler.concurrency_limit(entry),
                "reserved_tokens": entry.total_reserved_tokens(),
            })
        });
        let verified = self.scheduler.fleet().verify();
        let models = self.scheduler.models().map(|(service, model)| {
            let curve = model.curve();
            json!({
                "service": service,
                "base_ms": curve.base_ms,
                "ms_per_1k_tokens": curve.ms_per_1k_tokens,
                "ms_per_1m_pairs": curve.ms_per_1m_pairs,
                "samples": model.fit().samples(),
            })
        });
        let coordinator = self.coordination.coordinator();
        json!({ "models": models.collect::<Vec<_>>(),
            "coordination": {
                "requested": self.coordination.requester().pending(),
                "groups": coordinator.group_count(),
                "waiting": coordinator.waiting(),
            },
            "stream_origins": self.origins.dump(),
            "quotas": self.quotas.as_ref().map(|quotas| quotas.dump(now_ms)),
            "waiting": self.queue.len(), "longest_wait_ms": self.queue.longest_wait_ms(now_ms),
            "upstreams": entries.collect::<Vec<_>>(), "fault": verified.err() })
    }
}

fn resolution_name(resolution: &Resolution) -> &'static str {
    match resolution {
        Resolution::Assigned(_) => "assigned",
        Resolution::NoCapacity => "no_capacity",
        Resolution::Refused { .. } => "refused",
        Resolution::Undecided => "undecided",
    }
}

fn refusal(cause: RefusalCause) -> Choice {
    Choice::Refuse { cause, retry_after_ms: BUDGET_RETRY_AFTER_MS }
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
