//! The choice of an upstream of a service by the lowest estimated cost.
//!
//! The cost estimate handles three kinds of load. For a burst of long prompts while some engines
//! are down, it counts pending prefill tokens and queues. For hot prefixes, other engines take over
//! as soon as waiting at the preferred engine costs more than fetching the prefix. For many short
//! requests, the load decides, then the failure domain.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::Assignment;
use super::Choice;
use super::RefusalCause;
use super::ScheduleRequest;
use super::Scheduler;
use super::Shortage;
use super::cost::pending_prefill_ms;
use super::eligibility::Ineligibility;
use super::pacing::NodeShare;
use super::pacing::Pacer;
use super::pacing::RequestClass;
use super::sampling::SampleBound;
use super::shortage::CapacityLimit;
use crate::engine_model::PrefillCurve;
use crate::engine_model::PromptWork;
use crate::engine_model::ServiceTimes;
use crate::engine_model::SpeedClass;
use crate::fleet::FleetEntry;
use crate::fleet::UpstreamIndex;
use crate::placement::AffinityKey;
use crate::placement::EngineRoles;
use crate::placement::PrefixTag;
use crate::placement::PromptCosts;
use crate::placement::RoleEngine;
use crate::placement::Scope;
use crate::placement::WeightedScore;
use crate::weights::VersionHistory;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::WeightsVersion;

/// The range of random cost per node, so that nodes with the same view choose differently. It grows
/// with the number of nodes: with more nodes, their views of each other are older, and more of them
/// would choose the same idle engine.
const NOISE_MS_PER_NODE: f64 = 0.9;
const NOISE_LIMIT_MS: f64 = 80.0;

/// Older weights are not used during this time before they expire, because another node or the
/// upstream may have received the newer version earlier; the time that a request waits at an engine
/// before it starts is added.
pub(super) const OLD_WEIGHTS_MARGIN_MS: u64 = 1_000;

/// The multiple of the expected serving time that a request may wait at an engine before it starts.
const START_DELAY_FACTOR: u64 = 2;

/// The retry delay for callers while no upstream is available.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 700;

/// The percentage of an engine's memory up to which it gets long prompts; the rest keeps prefixes
/// for reuse.
const RUNNING_MEMORY_PERCENT: u64 = 60;

/// An engine for short prompts accepts a long one while less than its slots divided by this are
/// taken.
const BORROWED_SLOTS_DIVISOR: u32 = 3;

/// How long a long prompt waits before an engine for short prompts prefills all of it. In an overload
/// of long prompts without cached prefixes, a quarter of the engines otherwise prefills nothing.
const COLD_LOAN_WAIT_MS: u64 = 20;

/// Requests per slot that an upstream of a plain service may have before others wait at the node.
const SERVICE_QUEUE_FACTOR: u32 = 2;

/// The pending prefill below which an engine gets another prompt, as a share of the prompt's
/// latency target.
const PENDING_PREFILL_SHARE: f64 = 1.0 / 3.0;

#[derive(Clone, Debug)]
pub(super) struct Candidate {
    index: UpstreamIndex,
    slots: u32,
    // The cost of its role and weights, which is the same at every node.
    base_cost_ms: i32,
    // Whether a rate limit paces the requests to it.
    is_limited: bool,
    // The total cost.
    cost_ms: f64,
}

/// The selected candidate.
#[derive(Clone, Copy, Debug)]
struct Selection {
    index: UpstreamIndex,
    base_cost_ms: i32,
    is_limited: bool,
}

/// Properties of a request that are the same for all candidates.
pub(super) struct RequestContext {
    pub(super) times: ServiceTimes,
    pub(super) affinity: Option<AffinityKey>,
    // The engine that all nodes prefer for the prefix: among those with the newest weights, and
    // among the others.
    preferred: [Option<UpstreamIndex>; 2],
    pub(super) roles: EngineRoles,
    // Whether an engine for long prompts may serve the request.
    has_long: bool,
    pub(super) is_long: bool,
    // The class of the fastest engine that may serve the request.
    fastest_class: SpeedClass,
    // Whether the request belongs to the share that the engines with the newest weights can serve.
    pub(super) prefers_newest: bool,
    // Whether the request can no longer meet its target.
    is_late: bool,
    // The prefill of a usual prompt of the route; it is the same for all sizes, so that size does not
    // decide who gets an engine.
    usual_prefill_ms: f64,
    sample_bound: Option<SampleBound>,
    // How long before the expiry of older weights the request must not be sent there.
    old_weights_margin_ms: u64,
    // This node's share of the capacity, if the digests of the other nodes are old.
    node_share: Option<NodeShare>,
}

/// Why no upstream was selected.
enum NoCandidate {
    /// All upstreams are busy; one may have capacity later.
    AllBusy,
    /// No upstream is available.
    NoUpstream,
}

impl RequestContext {
    pub(super) fn is_preferred(&self, index: UpstreamIndex) -> bool {
        self.preferred.contains(&Some(index))
    }
}

impl Scheduler {
    /// Chooses an upstream for a request and counts the request there.
    pub fn choose(&mut self, request: &ScheduleRequest, now_ms: u64) -> Choice {
        self.choose_with_lateness(request, false, now_ms)
    }

    /// Refuses a request if a part of its prompt is quarantined.
    pub fn refuse_quarantined(&mut self, request: &ScheduleRequest, now_ms: u64) -> Option<Choice> {
        let prompt = request.prompt.as_deref()?;
        let block = self.quarantine_mut().block(&request.service, prompt, now_ms)?;
        let cause = RefusalCause::Quarantined(block.part);
        Some(Choice::Refuse { cause, retry_after_ms: block.remaining_ms })
    }

    /// Refuses a request that does not fit into the memory of an engine of its service.
    pub fn refuse_too_large(&self, request: &ScheduleRequest) -> Option<Choice> {
        let engine_tokens = self.cache_tokens(&request.service)?;
        let tokens = request.reserved_tokens();
        let cause = RefusalCause::TooLarge { tokens, engine_tokens };
        (tokens > engine_tokens).then_some(Choice::Refuse { cause, retry_after_ms: 0 })
    }

    /// Chooses an upstream; `is_late` states whether the request can no longer meet its target.
    pub(super) fn choose_with_lateness(
        &mut self,
        request: &ScheduleRequest,
        is_late: bool,
        now_ms: u64,
    ) -> Choice {
        if let Some(refusal) = self.refuse_quarantined(request, now_ms) {
            return refusal;
        }
        if let Some(refusal) = self.refuse_too_large(request) {
            return refusal;
        }
        let context = self.context(request, is_late, now_ms);
        self.choose_in_context(request, &context, now_ms)
    }

    /// Chooses an upstream for a request that has no quarantined part.
    pub(super) fn choose_in_context(
        &mut self,
        request: &ScheduleRequest,
        context: &RequestContext,
        now_ms: u64,
    ) -> Choice {
        match self.select(request, context, now_ms) {
            Ok(best) => Choice::Send(Box::new(self.assign(request, context, best, now_ms))),
            Err(NoCandidate::AllBusy) => Choice::Wait,
            Err(NoCandidate::NoUpstream) => refuse_without_upstream(request, now_ms),
        }
    }

    /// Refuses a request that continues a stream if no upstream can serve it, now or later.
    pub fn refuse_without_software(
        &self,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> Option<Choice> {
        let is_stranded = request.software.is_some() && !self.may_find_upstream(request, now_ms);
        is_stranded.then(|| refuse_without_upstream(request, now_ms))
    }

    /// Returns whether an upstream has capacity for a request now.
    pub fn has_capacity_now(&mut self, request: &ScheduleRequest, now_ms: u64) -> bool {
        let context = self.context(request, true, now_ms);
        self.select(request, &context, now_ms).is_ok()
    }

    pub(super) fn context(
        &mut self,
        request: &ScheduleRequest,
        is_late: bool,
        now_ms: u64,
    ) -> RequestContext {
        let model = self.model_mut(&request.service);
        let times = model.times();
        let Some(prompt) = request.prompt.as_deref() else {
            return RequestContext {
                times,
                affinity: None,
                preferred: [None; 2],
                roles: EngineRoles::default(),
                has_long: false,
                is_long: false,
                fastest_class: SpeedClass::default(),
                prefers_newest: false,
                is_late,
                usual_prefill_ms: 0.0,
                sample_bound: None,
                old_weights_margin_ms: 0,
                node_share: None,
            };
        };
        let is_long = model.is_long(request.route, u64::from(prompt.prompt_tokens));
        let usual_work = model.usual_work(request.route, u64::from(prompt.prompt_tokens));
        let usual_prefill_ms = model.curve().prefill_ms(usual_work);
        let usual_cost_ms = if is_long { model.long_cost_ms() } else { model.short_cost_ms() };
        let long_shared_tokens = model.long_shared_tokens();
        let mut costs = PromptCosts {
            short_ms: model.short_cost_ms(),
            long_ms: (model.long_cost_ms() + model.cold_long_cost_ms()) / 2.0,
            prefix_engines: 0.0,
            cold_long_ms: model.cold_long_cost_ms(),
        };
        if let Some(memory) = self.cache_tokens(&request.service) {
            let for_prefixes = memory * (100 - RUNNING_MEMORY_PERCENT) / 100;
            costs.prefix_engines =
                self.live_prefixes as f64 * long_shared_tokens / for_prefixes.max(1) as f64;
        }
        let serving_ms = serving_ms(request, &times.curve);
        let old_weights_margin_ms = OLD_WEIGHTS_MARGIN_MS + START_DELAY_FACTOR * serving_ms;
        let rates = self.arrival_rates(now_ms);
        let engines = self.fleet.of_service(&request.service);
        let engines = engines.filter_map(|(index, entry)| {
            let version = entry.version_of(&prompt.model)?;
            let is_newest = version >= self.newest(&prompt.model);
            let is_eligible =
                self.fleet.accepts_requests(entry, now_ms) && !entry.health.is_ejected(now_ms);
            let is_limited = entry.signals.gate.limit().is_some();
            let id = entry.upstream.id.as_str();
            let engine = RoleEngine { index, id, is_newest, speed_class: entry.speed.class() };
            is_eligible.then_some((engine, is_limited))
        });
        let mut engines: Vec<_> = engines.collect();
        // Roles divide the whole service, whatever the software of its engines; a request that is
        // bound to one version compares only engines of it.
        let mut usable = request.software.is_some().then(|| engines.clone());
        // Prefixes and short prompts move away from limited engines while there are others.
        remove_limited(&mut engines);
        let of_service = engines.iter().map(|(engine, _)| *engine);
        let roles = EngineRoles::choose(of_service, rates, costs);
        if let Some(usable) = &mut usable {
            let runs_software = |index| {
                let entry = self.fleet.get(index);
                entry.is_some_and(|entry| request.accepts_software(&entry.upstream))
            };
            usable.retain(|(engine, _)| runs_software(engine.index));
            remove_limited(usable);
        }
        let engines = usable.unwrap_or(engines);
        let engines: Vec<RoleEngine> = engines.into_iter().map(|(engine, _)| engine).collect();
        let has_long = engines.iter().any(|engine| !roles.is_short(engine.index));
        let affinity = AffinityKey::of(prompt);
        let preferred_of = |wants_newest: bool| {
            let key = affinity?;
            let long = engines
                .iter()
                .filter(|engine| engine.is_newest == wants_newest && !roles.is_short(engine.index));
            let scored = long.map(|engine| {
                let weight = engine.speed_class.capacity();
                (WeightedScore::new(key, engine.id, weight), engine.index)
            });
            scored.max().map(|(_, index)| index)
        };
        let preferred = [preferred_of(true), preferred_of(false)];
        let fastest_class = engines.iter().map(|engine| engine.speed_class).min();
        let fastest_class = fastest_class.unwrap_or_default();
        let newest_share = roles.newest_share(is_long);
        let prefers_newest = newest_share >= 1.0 || self.rng.random_bool(newest_share);
        // Only short prompts are sampled; long prompts go where their prefix is cached.
        let age_ms = self.peers.median_age_ms(now_ms);
        let sample_bound = (!is_long).then(|| SampleBound::new(rates.short_per_s, age_ms));
        let node_share = Pacer::is_needed(age_ms).then(|| NodeShare {
            fraction: self.own_arrival_share(is_long, rates, now_ms),
            burst_ms: pending_limit_ms(request, &times.curve),
            cost_ms: usual_cost_ms,
        });
        RequestContext {
            times,
            affinity,
            preferred,
            roles,
            has_long,
            is_long,
            fastest_class,
            prefers_newest,
            is_late,
            usual_prefill_ms,
            sample_bound,
            old_weights_margin_ms,
            node_share,
        }
    }

    pub(super) fn newest(&self, model: &str) -> WeightsVersion {
        self.target_versions.get(model).map(VersionHistory::newest).unwrap_or_default()
    }

    fn select(
        &mut self,
        request: &ScheduleRequest,
        context: &RequestContext,
        now_ms: u64,
    ) -> Result<Selection, NoCandidate> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let mut shortage = Shortage::default();
        for strict in [true, false] {
            shortage = Shortage::default();
            let any_eligible = self.collect_candidates(
                &mut candidates,
                &mut shortage,
                request,
                context,
                strict,
                now_ms,
            );
            // An ejected upstream is better than none, but not better than a short wait.
            if any_eligible {
                break;
            }
        }
        if let Some(node_share) = context.node_share {
            let count = candidates.len();
            self.retain_affordable(&mut candidates, request, context, node_share, now_ms);
            shortage.paced = u16::try_from(count - candidates.len()).unwrap_or(u16::MAX);
        }
        if let Some(sample_bound) = context.sample_bound {
            retain_sampled(&mut candidates, sample_bound, &mut self.rng);
        }
        let noise_ms = self.noise_ms();
        for candidate in &mut candidates {
            candidate.cost_ms += self.rng.random_range(0.0..noise_ms);
        }
        let best = candidates.iter().min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms));
        let best = best.map(|best| Selection {
            index: best.index,
            base_cost_ms: best.base_cost_ms,
            is_limited: best.is_limited,
        });
        self.candidates = candidates;
        if best.is_none() {
            self.shortage = shortage;
        }
        best.ok_or_else(|| match self.may_find_upstream(request, now_ms) {
            true => NoCandidate::AllBusy,
            false => NoCandidate::NoUpstream,
        })
    }

    /// Returns whether an upstream could serve a request, now or later. Upstreams of its service come
    /// and go, but those of one version of the software that have gone are not waited for.
    pub(super) fn may_find_upstream(&self, request: &ScheduleRequest, now_ms: u64) -> bool {
        let untried = self.fleet.of_service(&request.service);
        let mut untried = untried.filter(|(index, _)| !request.tried.contains(index));
        match request.software {
            None => untried.next().is_some(),
            Some(_) => untried.any(|(_, entry)| {
                request.accepts_software(&entry.upstream) && !self.fleet.has_gone(entry, now_ms)
            }),
        }
    }

    /// Returns the range of the random cost of a candidate.
    pub(super) fn noise_ms(&self) -> f64 {
        (self.members() as f64 * NOISE_MS_PER_NODE).min(NOISE_LIMIT_MS)
    }

    /// Returns whether the last decision compared an upstream: it was neither full, nor paced, nor
    /// left out of the sample.
    pub(super) fn has_compared(&self, index: UpstreamIndex) -> bool {
        self.candidates.iter().any(|candidate| candidate.index == index)
    }

    /// Removes the candidates for which this node's share of the capacity is used up.
    fn retain_affordable(
        &mut self,
        candidates: &mut Vec<Candidate>,
        request: &ScheduleRequest,
        context: &RequestContext,
        node_share: NodeShare,
        now_ms: u64,
    ) {
        let paced = candidates.iter().filter(|candidate| !candidate.is_limited);
        let mut base_costs_ms: Vec<i32> = paced.map(|candidate| candidate.base_cost_ms).collect();
        base_costs_ms.sort_unstable();
        for equal in base_costs_ms.chunk_by(|one, other| one == other) {
            let class = RequestClass {
                is_long: context.is_long,
                base_cost_ms: equal[0],
                software: request.software.clone(),
            };
            if !self.pacer.affords(&class, equal.len(), node_share, now_ms, &mut self.rng) {
                candidates.retain(|c| c.is_limited || c.base_cost_ms != equal[0]);
            }
        }
    }

    /// Collects the upstreams that have capacity for a request, and counts the others by what rules
    /// them out. Returns whether any is eligible.
    fn collect_candidates(
        &self,
        candidates: &mut Vec<Candidate>,
        shortage: &mut Shortage,
        request: &ScheduleRequest,
        context: &RequestContext,
        strict: bool,
        now_ms: u64,
    ) -> bool {
        let mut any_eligible = false;
        for (index, entry) in self.fleet.of_service(&request.service) {
            let ineligibility = self.ineligibility(index, entry, request, context, strict, now_ms);
            if ineligibility.is_some() {
                shortage.closed = shortage.closed.saturating_add(1);
                continue;
            }
            any_eligible = true;
            if let Some(limit) = self.exhausted_limit(request, context, index, entry, now_ms) {
                shortage.count(limit);
            } else {
                let cost = self.upstream_cost(request, context, index, entry, now_ms);
                candidates.push(Candidate {
                    index,
                    slots: entry.slots(),
                    base_cost_ms: cost.base_ms as i32,
                    is_limited: entry.signals.gate.limit().is_some(),
                    cost_ms: cost.total_ms(),
                });
            }
        }
        any_eligible
    }

    /// Returns the limit because of which an upstream would not start a request soon. Late requests
    /// get only half of the limits.
    pub(super) fn exhausted_limit(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> Option<CapacityLimit> {
        if !entry.signals.gate.allows(now_ms) {
            return Some(CapacityLimit::Rate);
        }
        let (load, slots) = (entry.load(now_ms), self.concurrency_limit(entry));
        if request.prompt.is_none() {
            // Requests may queue at an upstream whose slots are full, but not beyond what it handles
            // well.
            let is_limited = slots < entry.slots();
            let factor = if context.is_late || is_limited { 1 } else { SERVICE_QUEUE_FACTOR };
            let limit = slots.saturating_mul(factor);
            return (load >= limit).then_some(CapacityLimit::Slots);
        }
        let memory = self.cache_tokens(&request.service);
        let held_tokens = entry.total_reserved_tokens();
        if memory.is_some_and(|tokens| held_tokens + request.reserved_tokens() > tokens) {
            // An engine that holds more than its memory crashes.
            return Some(CapacityLimit::Memory);
        }
        // An engine for short prompts takes a long one only if it is nearly idle, and if it can fetch
        // the prefix or the prompt waits and short ones behind it would still be in time. Nodes that
        // know of each other late would all lend the same engine.
        if context.is_long && context.roles.is_short(index) && context.has_long {
            let may_prefill = context.node_share.is_none()
                && now_ms >= request.arrived_ms + COLD_LOAN_WAIT_MS
                && context.usual_prefill_ms * entry.speed.time_factor()
                    <= context.times.urgent_target_ms;
            let is_lent = entry.total_pending_prefill_tokens() == 0
                && load < slots / BORROWED_SLOTS_DIVISOR
                && !context.is_late
                && (may_prefill || self.can_fetch_prefix(request, entry, now_ms));
            return (!is_lent).then_some(CapacityLimit::Role);
        }
        if !context.is_late && self.is_too_slow(request, context, index, entry, now_ms) {
            return Some(CapacityLimit::Speed);
        }
        let limit_ms = pending_limit_ms(request, &context.times.curve);
        let (limit_ms, slots) = match context.is_late {
            true => (limit_ms / 2.0, (slots / 2).max(1)),
            false => (limit_ms, slots),
        };
        if pending_prefill_ms(context, entry) >= limit_ms {
            return Some(CapacityLimit::Prefill);
        }
        if load >= slots {
            return Some(CapacityLimit::Slots);
        }
        let leaves_prefixes =
            memory.is_none_or(|tokens| held_tokens < tokens * RUNNING_MEMORY_PERCENT / 100);
        (context.is_long && !leaves_prefixes).then_some(CapacityLimit::Memory)
    }

    /// Returns whether a prompt would miss its target at an idle engine only because the engine is
    /// slow: a faster one would still meet it. The answer depends on classes of speed, so that it is
    /// never true among engines of like speed.
    fn is_too_slow(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> bool {
        if request.target_ms == 0 || entry.speed.class() <= context.fastest_class {
            return false;
        }
        let Some(time) = self.prompt_time(request, context, index, entry, now_ms) else {
            return false;
        };
        let remaining_ms = (request.arrived_ms + request.target_ms).saturating_sub(now_ms) as f64;
        let meets = |class: SpeedClass| {
            time.engine_ms() * class.time_factor() + time.fetch_ms <= remaining_ms
        };
        !meets(entry.speed.class()) && meets(context.fastest_class)
    }

    /// Returns why an upstream is not eligible for a request. Health counts only if `strict`: an
    /// ejected upstream is better than none.
    pub(super) fn ineligibility(
        &self,
        index: UpstreamIndex,
        entry: &FleetEntry,
        request: &ScheduleRequest,
        context: &RequestContext,
        strict: bool,
        now_ms: u64,
    ) -> Option<Ineligibility> {
        if request.tried.contains(&index) {
            return Some(Ineligibility::Tried);
        }
        if !request.accepts_software(&entry.upstream) {
            return Some(Ineligibility::Software);
        }
        if let Some(closure) = self.fleet.closure(entry, now_ms) {
            return Some(Ineligibility::Closed(closure));
        }
        if entry.in_flight >= self.own_connection_limit(&request.service) {
            return Some(Ineligibility::Connections);
        }
        if let Some(prompt) = &request.prompt
            && !self.has_accepted_version(entry, prompt, context, now_ms)
        {
            return Some(Ineligibility::Weights);
        }
        let health = &entry.health;
        let may_probe = !health.is_on_probation() || entry.in_flight == 0;
        let is_healthy = !strict || (!health.is_ejected(now_ms) && may_probe);
        (!is_healthy).then_some(Ineligibility::Health)
    }

    /// Returns whether an engine holds weights that may still serve requests.
    fn has_accepted_version(
        &self,
        entry: &FleetEntry,
        prompt: &DeclaredPrompt,
        context: &RequestContext,
        now_ms: u64,
    ) -> bool {
        let Some(version) = entry.version_of(&prompt.model) else { return false };
        let usable_ms = self.usable_ms(&prompt.model, version, now_ms);
        usable_ms.is_none_or(|usable_ms| usable_ms > context.old_weights_margin_ms)
    }

    /// Returns how many of the leading shared tokens of a prompt are in the cache store.
    pub(super) fn stored_tokens(&self, scope: &Scope, prompt: &DeclaredPrompt, now_ms: u64) -> u32 {
        self.cache_index.cache_store().leading_tokens(scope, prompt.shared_parts(), now_ms)
    }

    /// Returns whether an engine would fetch the shared prefix of a prompt instead of prefilling
    /// it.
    fn can_fetch_prefix(&self, request: &ScheduleRequest, entry: &FleetEntry, now_ms: u64) -> bool {
        let Some(prompt) = &request.prompt else { return false };
        let Some(version) = entry.version_of(&prompt.model) else { return false };
        self.stored_tokens(&request.scope(version), prompt, now_ms) >= prompt.shared_tokens()
    }

    fn assign(
        &mut self,
        request: &ScheduleRequest,
        context: &RequestContext,
        best: Selection,
        now_ms: u64,
    ) -> Assignment {
        let index = best.index;
        let entry = self.fleet.get_mut(index).expect("selected upstream is in the table");
        let upstream = entry.upstream.clone();
        let queued_tokens = entry.total_pending_prefill_tokens();
        let prompt = request.prompt.as_deref();
        let version = prompt.and_then(|prompt| entry.version_of(&prompt.model));
        let scope = version.map(|version| request.scope(version));
        let mut assignment = Assignment {
            index,
            upstream,
            version,
            scope,
            affinity: context.affinity,
            pending_prefill_tokens: prompt.map_or(0, |prompt| u64::from(prompt.prompt_tokens)),
            reserved_tokens: request.reserved_tokens(),
            prompt_tokens: prompt.map_or(0, |prompt| u64::from(prompt.prompt_tokens)),
            fetched_tokens: 0,
            queued_tokens,
            sent_ms: now_ms,
            stall_timeout_ms: 0,
            coordinator: None,
            fetch_from: None,
            save_to: None,
        };
        let pauses = self.model_mut(&request.service).pauses();
        assignment.stall_timeout_ms = pauses.stall_timeout_ms(request.pause_target_ms);
        if let (Some(prompt), Some(key)) = (prompt, context.affinity) {
            self.plan_cache_transfer(&mut assignment, prompt, key, context, now_ms);
        }
        if let Some(node_share) = context.node_share.filter(|_| !best.is_limited) {
            let class = RequestClass {
                is_long: context.is_long,
                base_cost_ms: best.base_cost_ms,
                software: request.software.clone(),
            };
            let prefill_ms = context.times.curve.prefill_ms(PromptWork {
                unread_tokens: assignment.pending_prefill_tokens,
                prompt_tokens: assignment.prompt_tokens,
            });
            let cost_ms = node_share.cost_ms.max(prefill_ms);
            self.pacer.spend(class, cost_ms, now_ms, &mut self.rng);
        }
        let entry = self.fleet.get_mut(index).expect("selected upstream is in the table");
        entry.record_sent(assignment.pending_prefill_tokens, assignment.reserved_tokens);
        entry.signals.gate.spend(now_ms);
        assignment
    }

    /// Decides where the engine fetches the shared prefix from, and whether it saves it to the
    /// store.
    fn plan_cache_transfer(
        &mut self,
        assignment: &mut Assignment,
        prompt: &DeclaredPrompt,
        key: AffinityKey,
        context: &RequestContext,
        now_ms: u64,
    ) {
        let Some(scope) = assignment.scope.clone() else { return };
        let shared = prompt.shared_tokens();
        let stored = self.stored_tokens(&scope, prompt, now_ms);
        let is_stored = stored >= shared;
        let tag = PrefixTag::new(key, &scope);
        if !is_stored
            && self.cache_index.cache_store().is_available(now_ms)
            && !self.cache_index.is_saving(tag, now_ms)
        {
            assignment.save_to = self.cache_store;
            self.cache_index.record_save(tag, now_ms);
        }
        let is_cached = self.cache_index.has(tag, assignment.index, now_ms);
        let holder = self.cache_index.holders(tag, now_ms).last();
        self.cache_index.record_sent(tag, assignment.index, now_ms);
        if is_cached {
            assignment.pending_prefill_tokens =
                assignment.pending_prefill_tokens.saturating_sub(u64::from(shared));
            return;
        }
        // The preferred engine may hold the prefix from requests of other nodes; another engine
        // fetches it from a holder.
        let is_newest = assignment.version.unwrap_or_default() >= self.newest(&prompt.model);
        let preferred = context.preferred[usize::from(!is_newest)];
        let other_preferred = preferred.filter(|preferred| *preferred != assignment.index);
        let source = holder.or(other_preferred).and_then(|index| self.fleet.get(index));
        let source = source.filter(|entry| {
            !entry.health.is_ejected(now_ms)
                && entry.version_of(&prompt.model) == assignment.version
        });
        let source = source.map(|entry| entry.upstream.address);
        let store = self.cache_store.filter(|_| is_stored);
        assignment.fetch_from = store.or(source);
        let is_certain = is_stored || holder.is_some();
        let fetched = if is_certain { shared } else { stored };
        assignment.fetched_tokens = u64::from(fetched);
        assignment.pending_prefill_tokens =
            assignment.pending_prefill_tokens.saturating_sub(u64::from(fetched));
    }
}

impl Scheduler {
    /// Returns the expected time from sending a usual request of the route to its first event. It is
    /// the same for all sizes, so that size does not decide who waits and who is refused.
    pub(super) fn usual_serving_ms(&mut self, request: &ScheduleRequest) -> u64 {
        let work = request.cold_work();
        let model = self.model_mut(&request.service);
        let usual_work = model.usual_work(request.route, work.prompt_tokens);
        let usual_ms = model.curve().first_event_ms(usual_work);
        (usual_ms + pending_limit_ms(request, model.curve()) / 2.0) as u64
    }
}

fn refuse_without_upstream(request: &ScheduleRequest, now_ms: u64) -> Choice {
    let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
    let retry_after_ms = NO_UPSTREAM_RETRY_AFTER_MS.min(remaining_ms / 3);
    Choice::Refuse { cause: RefusalCause::NoUpstream, retry_after_ms }
}

/// Removes the limited engines if there are others.
fn remove_limited(engines: &mut Vec<(RoleEngine<'_>, bool)>) {
    if engines.iter().any(|(_, is_limited)| !is_limited) {
        engines.retain(|(_, is_limited)| !is_limited);
    }
}

/// Returns the expected time from sending a request to its first event, with the prefill that an
/// engine may have in front of it.
pub(super) fn serving_ms(request: &ScheduleRequest, curve: &PrefillCurve) -> u64 {
    let first_event_ms = curve.first_event_ms(request.cold_work());
    (first_event_ms + pending_limit_ms(request, curve) / 2.0) as u64
}

/// Returns the pending prefill below which an engine gets a request, in milliseconds.
pub(super) fn pending_limit_ms(request: &ScheduleRequest, curve: &PrefillCurve) -> f64 {
    match request.target_ms {
        // Without a target, a request waits about as long as it is served.
        0 => curve.first_event_ms(request.cold_work()),
        target_ms => target_ms as f64 * PENDING_PREFILL_SHARE,
    }
}

/// Keeps a random sample of the candidates of each base cost.
fn retain_sampled(candidates: &mut Vec<Candidate>, sample_bound: SampleBound, rng: &mut SmallRng) {
    candidates.shuffle(rng);
    candidates.sort_by_key(|candidate| candidate.base_cost_ms);
    let mut begin = 0;
    let mut kept = 0;
    while let Some(first) = candidates.get(begin) {
        let base_cost_ms = first.base_cost_ms;
        let equal =
            candidates[begin..].iter().take_while(|c| c.base_cost_ms == base_cost_ms).count();
        let size = sample_bound.size(equal, first.slots);
        for step in 0..size {
            candidates.swap(kept + step, begin + step);
        }
        kept += size;
        begin += equal;
    }
    candidates.truncate(kept);
}
