//! The state of admission and placement, and its changes by events. Free of I/O: time is passed in,
//! answers go out through the channels that came with the questions.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::ask::OwnedAsk;
use super::engines::EngineSlots;
use super::messages::EngineReply;
use super::model_queue::ModelQueue;
use super::observations::EngineLoadReport;
use super::retries::Retries;
use super::ticket::TicketId;
use crate::Refusal;
use redwingrill_admission::limits::AccountLimits;
use redwingrill_admission::limits::LimitRefusal;
use redwingrill_admission::limits::LimitSpec;
use redwingrill_admission::queue::QueueRefusal;
use redwingrill_admission::queue::QueuedRequest;
use redwingrill_admission::queue::QueuedRequestId;
use redwingrill_codes::ResultCode;
use redwingrill_config::Snapshot;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::EngineSpec;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::placer::Placement;
use redwingrill_placement::placer::Placer;
use redwingrill_placement::placer::Policy;
use redwingrill_stream::Usage;

/// What a caller is told whose request waited in vain.
const RETRY_AFTER_MS: u64 = 1_000;

/// The part of its queue deadline that a request waits in an overloaded queue.
const PATIENCE_PERCENT: u64 = 30;

/// Counts since the start of the node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) first_tokens: u64,
    pub(super) replaced: u64,
    pub(super) refused: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// One leg of a started request.
#[derive(Debug)]
pub(super) struct Leg {
    pub(super) placement: Placement,
    pub(super) start: Option<EngineStart>,
    pub(super) first_token_ms: Option<f64>,
}

/// Where an admitted request stands.
#[derive(Debug)]
pub(super) enum Stage {
    Waiting(EngineReply),
    Started(Leg),
    // Its engine failed, and it waits for another.
    Retrying,
}

/// One admitted request.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) ask: Box<OwnedAsk>,
    pub(super) cost_tokens: u64,
    pub(super) stage: Stage,
    pub(super) tried: Vec<UpstreamId>,
    pub(super) started_ms: u64,
}

/// All state of the dispatch task.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) placer: Placer,
    pub(super) limits: AccountLimits,
    pub(super) engines: EngineSlots,
    pub(super) queues: EntityMap<ModelId, ModelQueue>,
    pub(super) tickets: HashMap<TicketId, Held>,
    pub(super) retries: Retries,
    pub(super) counts: Counts,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) rng: SmallRng,
    leaving: Vec<UpstreamId>,
}

impl Core {
    pub(super) fn new(policy: Policy, seed: u64) -> Self {
        Self {
            placer: Placer::new(policy),
            limits: AccountLimits::default(),
            engines: EngineSlots::default(),
            queues: EntityMap::new(),
            tickets: HashMap::new(),
            retries: Retries::default(),
            counts: Counts::default(),
            snapshot: Arc::default(),
            leaving: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over a configuration.
    pub(super) fn configure(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.engines.configure(&self.snapshot);
        self.queues.iter_mut().for_each(|(_, queue)| queue.configure(&self.snapshot));
        let leaving = std::mem::take(&mut self.leaving);
        self.set_leaving(leaving);
        let mut upstreams = self.snapshot.state.upstreams.values();
        let has_store = upstreams.any(|upstream| upstream.kind == UpstreamKind::CacheStore);
        self.placer.set_cache_store(has_store);
    }

    /// Replaces the upstreams that are leaving.
    pub(super) fn set_leaving(&mut self, leaving: Vec<UpstreamId>) {
        self.engines.list_leaving(&leaving);
        // Kept for engines that a later configuration brings.
        self.leaving = leaving;
        self.set_placer_engines();
    }

    fn set_placer_engines(&mut self) {
        let engines = &self.engines;
        let upstreams = self.snapshot.state.upstreams.iter();
        let open =
            upstreams.filter(|(id, _)| engines.get(*id).is_some_and(|slot| !slot.leaving.any()));
        self.placer.set_engines(open.filter_map(|(id, upstream)| {
            Some(EngineSpec {
                upstream: id,
                name: &upstream.name,
                model: upstream.model?,
                domain: upstream.domain,
            })
        }));
    }

    /// Takes in a load report.
    pub(super) fn observe(&mut self, report: &EngineLoadReport, observed_ms: u64, now_ms: u64) {
        let EngineLoadReport { upstream, load, leaving, .. } = *report;
        if self.placer.observe_load(upstream, load, observed_ms) {
            info!("event=engine_restarted engine={}", self.name_of(upstream));
            self.engines.restarted(upstream, now_ms);
        }
        self.engines.observe(upstream, load.running, load.waiting, now_ms);
        let Some(slot) = self.engines.get_mut(upstream) else { return };
        if slot.leaving.reported != leaving {
            slot.leaving.reported = leaving;
            self.set_placer_engines();
        }
    }

    /// Admits a request, or refuses it.
    pub(super) fn admit(
        &mut self,
        ticket: TicketId,
        ask: Box<OwnedAsk>,
        reply: EngineReply,
        now_ms: u64,
    ) {
        if let Err(refusal) = self.enqueue(ticket, &ask, now_ms) {
            self.refuse(reply, refusal);
            return;
        }
        let model = ask.model;
        let cost_tokens = self.cost_of(&ask);
        let held = Held {
            ask,
            cost_tokens,
            stage: Stage::Waiting(reply),
            tried: Vec::new(),
            started_ms: now_ms,
        };
        self.tickets.insert(ticket, held);
        self.pump(model, now_ms);
    }

    fn cost_of(&mut self, ask: &OwnedAsk) -> u64 {
        let queue = self.queues.get_or_insert_with(ask.model, || ModelQueue::new(&ask.snapshot));
        queue.cost_tokens(ask.prompt.tokens, ask.max_tokens)
    }

    fn enqueue(&mut self, ticket: TicketId, ask: &OwnedAsk, now_ms: u64) -> Result<(), Refusal> {
        if !self.engines.serves(ask.model) {
            return Err(ResultCode::NoUpstream.into());
        }
        let state = &ask.snapshot.state;
        let account = state.accounts.get(ask.account).ok_or(ResultCode::KeyUnknown)?;
        let priority = state.priorities.get(ask.priority).ok_or(ResultCode::PriorityUnknown)?;
        let cost_tokens = self.cost_of(ask);
        let spec = LimitSpec {
            tokens_per_s: account.tokens_per_s_limit,
            max_in_flight: account.requests_limit,
        };
        self.limits.admit(ask.account, spec, cost_tokens, now_ms).map_err(limit_refusal)?;
        let weight = self.limits.local_weight(ask.account, account.weight, now_ms);
        let waiting = QueuedRequest {
            id: QueuedRequestId(ticket.0),
            account: ask.account,
            cost_tokens,
            deadline_ms: now_ms + u64::from(priority.queue_deadline_ms),
            overload_deadline_ms: now_ms
                + u64::from(priority.queue_deadline_ms) * PATIENCE_PERCENT / 100,
        };
        let queue = self.queues.get_mut(ask.model).expect("the cost made the queue");
        match queue.scheduler.push(ask.priority, waiting, weight, now_ms) {
            Ok(None) => Ok(()),
            Ok(Some(dropped)) => {
                self.refuse_waiting(dropped, ResultCode::QueueFull);
                Ok(())
            }
            Err(refusal) => {
                self.limits.finish(ask.account, -(cost_tokens as i64));
                Err(queue_refusal(refusal))
            }
        }
    }

    /// Starts waiting requests of a model as long as there are places.
    pub(super) fn pump(&mut self, model: ModelId, now_ms: u64) {
        self.engines.refresh(now_ms);
        self.pump_retries(now_ms);
        while self.engines.any_open(model) {
            let places = self.engines.places(model);
            let Some(queue) = self.queues.get_mut(model) else { return };
            let Some((priority, waiting)) = queue.scheduler.pop(places, now_ms) else { return };
            if !self.start(TicketId(waiting.id.0), now_ms) {
                self.end_in_queue(model, priority, None);
            }
        }
    }

    /// Pumps every model, and refuses what has waited too long.
    pub(super) fn tick(&mut self, now_ms: u64) {
        self.retries.expire(now_ms);
        let models: Vec<ModelId> = self.queues.keys().collect();
        for model in models {
            self.pump(model, now_ms);
            self.expire(model, now_ms);
        }
    }

    fn expire(&mut self, model: ModelId, now_ms: u64) {
        while let Some(queue) = self.queues.get_mut(model) {
            let Some(expired) = queue.scheduler.pop_expired(now_ms) else { return };
            let is_late = expired.deadline_ms <= now_ms;
            let code = if is_late { ResultCode::QueueTimeout } else { ResultCode::Shed };
            self.refuse_waiting(expired, code);
        }
    }

    /// Ends a request, in whatever stage it is.
    pub(super) fn end(&mut self, ticket: TicketId, usage: Option<Usage>, now_ms: u64) {
        let Some(held) = self.tickets.remove(&ticket) else { return };
        let (model, priority) = (held.ask.model, held.ask.priority);
        let used = usage.map(|usage| usage.prompt_tokens + usage.completion_tokens);
        let excess_tokens = match (&held.stage, used) {
            (Stage::Waiting(_), _) => -(held.cost_tokens as i64),
            (_, Some(used)) if used > 0 => used as i64 - held.cost_tokens as i64,
            _ => 0,
        };
        self.limits.finish(held.ask.account, excess_tokens);
        if let Stage::Waiting(_) = held.stage {
            if let Some(queue) = self.queues.get_mut(model) {
                queue.scheduler.cancel(priority, held.ask.account, QueuedRequestId(ticket.0));
            }
            return;
        }
        if let Stage::Started(leg) = &held.stage {
            self.end_leg(&held, leg, usage, now_ms);
        }
        if let Some(usage) = usage {
            self.retries.succeeded();
            self.count_usage(model, usage);
        }
        let took_ms = usage.map(|_| now_ms.saturating_sub(held.started_ms));
        self.end_in_queue(model, priority, took_ms);
        self.pump(model, now_ms);
    }

    fn count_usage(&mut self, model: ModelId, usage: Usage) {
        self.counts.prompt_tokens += usage.prompt_tokens;
        self.counts.cached_tokens += usage.cached_tokens().unwrap_or(0);
        if let Some(queue) = self.queues.get_mut(model).filter(|_| usage.completion_tokens > 0) {
            queue.answered(usage.completion_tokens);
        }
    }

    fn end_in_queue(&mut self, model: ModelId, priority: PriorityId, took_ms: Option<u64>) {
        if let Some(queue) = self.queues.get_mut(model) {
            queue.scheduler.finish(priority, took_ms);
        }
    }

    fn refuse_waiting(&mut self, waiting: QueuedRequest, code: ResultCode) {
        let Some(held) = self.tickets.remove(&TicketId(waiting.id.0)) else { return };
        self.limits.finish(held.ask.account, -(held.cost_tokens as i64));
        if let Stage::Waiting(reply) = held.stage {
            self.refuse(reply, Refusal::new(code).retry_after(RETRY_AFTER_MS));
        }
    }

    pub(super) fn refuse(&mut self, reply: EngineReply, refusal: Refusal) {
        self.counts.refused += 1;
        let _gone = reply.send(Err(refusal)).is_err();
    }

    pub(super) fn name_of(&self, upstream: UpstreamId) -> String {
        let upstream = self.snapshot.state.upstreams.get(upstream);
        upstream.map_or_else(String::new, |upstream| upstream.name.clone())
    }
}

fn limit_refusal(refusal: LimitRefusal) -> Refusal {
    match refusal {
        LimitRefusal::Rate { retry_after_ms } => {
            Refusal::new(ResultCode::RateLimited).retry_after(retry_after_ms)
        }
        LimitRefusal::Concurrency { retry_after_ms } => {
            Refusal::new(ResultCode::ConcurrencyLimited).retry_after(retry_after_ms)
        }
    }
}

fn queue_refusal(refusal: QueueRefusal) -> Refusal {
    match refusal {
        QueueRefusal::Full { retry_after_ms } => {
            Refusal::new(ResultCode::QueueFull).retry_after(retry_after_ms)
        }
        QueueRefusal::WaitTooLong { retry_after_ms } => {
            Refusal::new(ResultCode::Shed).retry_after(retry_after_ms)
        }
    }
}
