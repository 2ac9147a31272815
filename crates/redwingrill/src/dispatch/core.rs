//! The state of admission and placement, and its transitions. Performs no I/O: the time is a
//! parameter, and responses are sent through the channels that came with the messages.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::engines::EngineSlots;
use super::messages::TargetSender;
use super::model_queue::ModelQueue;
use super::observations::EngineLoadReport;
use super::retries::Retries;
use super::schedule_request::OwnedScheduleRequest;
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

/// The `Retry-After` time of a request that was dropped from its queue.
const RETRY_AFTER_MS: u64 = 1_000;

/// The share of the queue deadline after which a request in an overloaded queue is shed.
const OVERLOAD_DEADLINE_PERCENT: u64 = 30;

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) first_tokens: u64,
    pub(super) replaced: u64,
    pub(super) refused: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// One attempt of a started request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) placement: Placement,
    pub(super) start: Option<EngineStart>,
    pub(super) first_token_ms: Option<f64>,
}

/// The stage of an admitted request.
#[derive(Debug)]
pub(super) enum Stage {
    Waiting(TargetSender),
    Started(Attempt),
    // The engine failed; the request waits for another one.
    Retrying,
}

/// An admitted request.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) request: Box<OwnedScheduleRequest>,
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
    pub(super) tickets: HashMap<TicketId, AdmittedRequest>,
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

    /// Applies a configuration.
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
        self.engines.set_listed_leaving(&leaving);
        // Kept for engines that a later configuration adds.
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

    /// Applies a load report of an engine.
    pub(super) fn observe(&mut self, report: &EngineLoadReport, observed_ms: u64, now_ms: u64) {
        let EngineLoadReport { upstream, load, leaving, .. } = *report;
        if self.placer.observe_load(upstream, load, observed_ms) {
            info!("event=engine_restarted engine={}", self.upstream_name(upstream));
            self.engines.record_restart(upstream, now_ms);
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
        request: Box<OwnedScheduleRequest>,
        response: TargetSender,
        now_ms: u64,
    ) {
        if let Err(refusal) = self.enqueue(ticket, &request, now_ms) {
            self.refuse(response, refusal);
            return;
        }
        let model = request.model;
        let cost_tokens = self.request_cost_tokens(&request);
        let admitted = AdmittedRequest {
            request,
            cost_tokens,
            stage: Stage::Waiting(response),
            tried: Vec::new(),
            started_ms: now_ms,
        };
        self.tickets.insert(ticket, admitted);
        self.pump(model, now_ms);
    }

    fn request_cost_tokens(&mut self, request: &OwnedScheduleRequest) -> u64 {
        let queue =
            self.queues.get_or_insert_with(request.model, || ModelQueue::new(&request.snapshot));
        queue.cost_tokens(request.prompt.tokens, request.max_tokens)
    }

    fn enqueue(
        &mut self,
        ticket: TicketId,
        request: &OwnedScheduleRequest,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        if !self.engines.serves(request.model) {
            return Err(ResultCode::NoUpstream.into());
        }
        let queue =
            self.queues.get_or_insert_with(request.model, || ModelQueue::new(&request.snapshot));
        if let Some(dropped) = enqueue(&mut self.limits, queue, ticket, request, now_ms)? {
            self.refuse_waiting(dropped, ResultCode::QueueFull);
        }
        Ok(())
    }

    /// Starts queued requests of a model while its engines have capacity.
    pub(super) fn pump(&mut self, model: ModelId, now_ms: u64) {
        self.engines.refresh(now_ms);
        self.pump_retries(now_ms);
        while self.engines.any_open(model) {
            let capacity = self.engines.capacity(model);
            let Some(queue) = self.queues.get_mut(model) else { return };
            let Some((priority, request)) = queue.scheduler.pop(capacity, now_ms) else { return };
            if !self.start(TicketId(request.id.0), now_ms) {
                self.end_in_queue(model, priority, None);
            }
        }
    }

    /// Pumps the queue of every model and refuses requests whose deadline has passed.
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

    /// Ends a request in any stage.
    pub(super) fn end(&mut self, ticket: TicketId, usage: Option<Usage>, now_ms: u64) {
        let Some(admitted) = self.tickets.remove(&ticket) else { return };
        let (model, priority) = (admitted.request.model, admitted.request.priority);
        let used = usage.map(|usage| usage.prompt_tokens + usage.completion_tokens);
        let excess_tokens = match (&admitted.stage, used) {
            (Stage::Waiting(_), _) => -(admitted.cost_tokens as i64),
            (_, Some(used)) if used > 0 => used as i64 - admitted.cost_tokens as i64,
            _ => 0,
        };
        self.limits.finish(admitted.request.account, excess_tokens);
        if let Stage::Waiting(_) = admitted.stage {
            if let Some(queue) = self.queues.get_mut(model) {
                queue.scheduler.cancel(
                    priority,
                    admitted.request.account,
                    QueuedRequestId(ticket.0),
                );
            }
            return;
        }
        if let Stage::Started(attempt) = &admitted.stage {
            self.end_attempt(&admitted, attempt, usage, now_ms);
        }
        if let Some(usage) = usage {
            self.retries.record_success();
            self.count_usage(model, usage);
        }
        let duration_ms = usage.map(|_| now_ms.saturating_sub(admitted.started_ms));
        self.end_in_queue(model, priority, duration_ms);
        self.pump(model, now_ms);
    }

    fn count_usage(&mut self, model: ModelId, usage: Usage) {
        self.counts.prompt_tokens += usage.prompt_tokens;
        self.counts.cached_tokens += usage.cached_tokens().unwrap_or(0);
        if let Some(queue) = self.queues.get_mut(model).filter(|_| usage.completion_tokens > 0) {
            queue.record_completion(usage.completion_tokens);
        }
    }

    fn end_in_queue(&mut self, model: ModelId, priority: PriorityId, duration_ms: Option<u64>) {
        if let Some(queue) = self.queues.get_mut(model) {
            queue.scheduler.finish(priority, duration_ms);
        }
    }

    fn refuse_waiting(&mut self, request: QueuedRequest, code: ResultCode) {
        let Some(admitted) = self.tickets.remove(&TicketId(request.id.0)) else { return };
        self.limits.finish(admitted.request.account, -(admitted.cost_tokens as i64));
        if let Stage::Waiting(response) = admitted.stage {
            self.refuse(response, Refusal::new(code).retry_after(RETRY_AFTER_MS));
        }
    }

    pub(super) fn refuse(&mut self, response: TargetSender, refusal: Refusal) {
        self.counts.refused += 1;
        let _disconnected = response.send(Err(refusal)).is_err();
    }

    pub(super) fn upstream_name(&self, upstream: UpstreamId) -> String {
        let upstream = self.snapshot.state.upstreams.get(upstream);
        upstream.map_or_else(String::new, |upstream| upstream.name.clone())
    }
}

/// Charges a request to its account and queues it. Returns a request that a full queue drops.
pub(super) fn enqueue(
    limits: &mut AccountLimits,
    queue: &mut ModelQueue,
    ticket: TicketId,
    request: &OwnedScheduleRequest,
    now_ms: u64,
) -> Result<Option<QueuedRequest>, Refusal> {
    let state = &request.snapshot.state;
    let account = state.accounts.get(request.account).ok_or(ResultCode::KeyUnknown)?;
    let cost_tokens = queue.cost_tokens(request.prompt.tokens, request.max_tokens);
    let queued = queued_request(ticket, request, cost_tokens, now_ms)?;
    let spec = LimitSpec {
        tokens_per_s: account.tokens_per_s_limit,
        burst_tokens: 0,
        max_in_flight: account.requests_limit,
    };
    limits.admit(request.account, spec, cost_tokens, now_ms).map_err(limit_refusal)?;
    let weight = limits.local_weight(request.account, account.weight, now_ms);
    queue.scheduler.push(request.priority, queued, weight, now_ms).map_err(|refusal| {
        limits.finish(request.account, -(cost_tokens as i64));
        queue_refusal(refusal)
    })
}

/// Returns a request as its queue has it.
pub(super) fn queued_request(
    ticket: TicketId,
    request: &OwnedScheduleRequest,
    cost_tokens: u64,
    now_ms: u64,
) -> Result<QueuedRequest, Refusal> {
    let priorities = &request.snapshot.state.priorities;
    let priority = priorities.get(request.priority).ok_or(ResultCode::PriorityUnknown)?;
    let queue_deadline_ms = u64::from(priority.queue_deadline_ms);
    Ok(QueuedRequest {
        id: QueuedRequestId(ticket.0),
        account: request.account,
        cost_tokens,
        deadline_ms: now_ms + queue_deadline_ms,
        overload_deadline_ms: now_ms + queue_deadline_ms * OVERLOAD_DEADLINE_PERCENT / 100,
    })
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
