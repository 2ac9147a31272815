//! The placer: all that placement knows, and the decision.

use rand::Rng;

use super::cost::LevelFacts;
use super::cost::Priced;
use super::cost::Pricing;
use super::policy::Policy;
use super::types::Availability;
use super::types::CacheEvent;
use super::types::Finished;
use super::types::FirstToken;
use super::types::Placement;
use super::types::PlacementRequest;
use crate::blocks::Level;
use crate::blocks::PromptSummary;
use crate::cache_index::CachedPrefixes;
use crate::cache_index::EventLimiter;
use crate::cache_index::TimeToLive;
use crate::candidates::CandidateOrder;
use crate::candidates::ORDERED;
use crate::candidates::PrefixPopularity;
use crate::fleet::Engine;
use crate::fleet::EngineLoad;
use crate::fleet::EngineSpec;
use crate::fleet::EngineStart;
use crate::fleet::Fleet;
use crate::fleet::LoadReport;
use crate::fleet::ModelRates;
use crate::fleet::WeightsTag;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;

/// Engines that are priced for a prompt that has no prefix.
const PRICED_STRANGERS: usize = 2;

/// The order is so much wider than the widest set, for work that spills over.
const SPILL_FACTOR: usize = 2;
const MIN_ORDER_WIDTH: usize = 4;

/// The width of a set as a part of its share of the fleet, before it is rounded up to a power of two.
/// Coarse widths let nodes with slightly different shares agree; work above it spills over by cost.
const SET_WIDTH_PART: f64 = 0.5;

/// Cache events that are taken in a second.
const EVENTS_PER_S: u64 = 500;

/// All that placement knows.
#[derive(Clone, Debug)]
pub struct Placer {
    policy: Policy,
    pub(super) fleet: Fleet,
    has_cache_store: bool,
    pub(super) loads: EntityMap<UpstreamId, EngineLoad>,
    rates: EntityMap<ModelId, ModelRates>,
    heat: EntityMap<ModelId, PrefixPopularity>,
    knowledge: CachedPrefixes,
    time_to_live: TimeToLive,
    event_budget: EventLimiter,
    pub(super) order: CandidateOrder,
}

impl Placer {
    /// Makes a placer that knows no engine.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            fleet: Fleet::default(),
            has_cache_store: false,
            loads: EntityMap::new(),
            rates: EntityMap::new(),
            heat: EntityMap::new(),
            knowledge: CachedPrefixes::default(),
            time_to_live: TimeToLive::default(),
            event_budget: EventLimiter::new(EVENTS_PER_S),
            order: CandidateOrder::default(),
        }
    }

    /// Replaces the engines that may be chosen.
    pub fn set_engines<'a>(&mut self, specs: impl IntoIterator<Item = EngineSpec<'a>>) {
        self.fleet.set_engines(specs);
    }

    /// Says whether a KV cache store is there to import from.
    pub fn set_cache_store(&mut self, present: bool) {
        self.has_cache_store = present;
    }

    /// Takes in an engine's load report. Returns whether the engine turned out to have restarted.
    pub fn observe_load(
        &mut self,
        upstream: UpstreamId,
        report: LoadReport,
        observed_ms: u64,
    ) -> bool {
        self.load_mut(upstream).observe(report, observed_ms)
    }

    /// Takes in a cache event, within the budget. Only prefixes in use are remembered.
    pub fn observe_cache_event(
        &mut self,
        model: ModelId,
        upstream: UpstreamId,
        start: EngineStart,
        event: CacheEvent,
        now_ms: u64,
    ) {
        if !self.event_budget.try_acquire(now_ms) {
            return;
        }
        match event {
            CacheEvent::Removed(prefix) => self.knowledge.remove(prefix, upstream),
            CacheEvent::Stored(prefix) => {
                let in_use = self.heat.get(model).is_some_and(|heat| heat.is_tracked(prefix));
                if in_use {
                    let lives_ms = self.time_to_live.ms();
                    self.knowledge.insert(prefix, upstream, start.incarnation, now_ms, lives_ms);
                }
            }
        }
    }

    /// Chooses an engine and counts the request as sent to it; `None` if no engine may take it.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        gate: &impl Availability,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let mut placement = match self.policy {
            Policy::Random => self.place_random(request, gate, rng),
            Policy::LeastLoaded => self.place_least_loaded(request, gate, rng),
            Policy::Affinity => self.place_by_affinity(request, gate),
            Policy::Redwingrill => self.place_at_least_cost(request, gate, now_ms, rng),
        }?;
        placement.sent_ms = now_ms;
        self.count(request, now_ms);
        let uncached = request.prompt.tokens.saturating_sub(placement.expected_cached_tokens);
        self.load_mut(placement.upstream).record_sent(uncached, now_ms);
        Some(placement)
    }

    /// Takes in a request's first token: the engine holds the whole prompt now.
    pub fn first_token(&mut self, fact: &FirstToken<'_>, now_ms: u64) {
        self.remember(fact.placement, fact.start, fact.weights, fact.prompt, now_ms);
    }

    /// Takes in the end of a request.
    pub fn finish(&mut self, fact: &Finished<'_>, now_ms: u64) {
        let placement = fact.placement;
        self.load_mut(placement.upstream).record_finished(placement.sent_ms);
        let Some(cached_tokens) = fact.cached_tokens else { return };
        let rates = self.rates.get_or_insert_with(fact.model, ModelRates::default);
        let computed_tokens = fact.prompt.tokens.saturating_sub(cached_tokens);
        let request_ms = now_ms.saturating_sub(placement.sent_ms) as f64;
        let prompt_tokens = fact.prompt.tokens.max(1) as f64;
        rates.observe_request(request_ms, computed_tokens as f64 / prompt_tokens);
        match fact.first_token_ms {
            Some(first_token_ms) if placement.import_tokens > 0 => {
                rates.observe_import(first_token_ms, computed_tokens, placement.import_tokens);
            }
            Some(first_token_ms) => rates.observe_first_token(first_token_ms, computed_tokens),
            None => {}
        }
        self.remember(placement, fact.start, fact.weights, fact.prompt, now_ms);
    }

    /// Returns what is known of an engine's load.
    pub fn load(&self, upstream: UpstreamId) -> Option<&EngineLoad> {
        self.loads.get(upstream)
    }

    /// Returns the learned speeds of a model.
    pub fn rates(&self, model: ModelId) -> ModelRates {
        self.rates.get(model).copied().unwrap_or_default()
    }

    /// Checks the invariants and names the first that is broken.
    pub fn verify(&self) -> Result<(), String> {
        self.fleet.verify()?;
        self.order.verify()?;
        self.knowledge.verify()
    }

    pub(super) fn policy(&self) -> Policy {
        self.policy
    }

    pub(super) fn prefixes_known(&self) -> usize {
        self.knowledge.len()
    }

    pub(super) fn prefixes_followed(&self) -> usize {
        self.heat.values().map(PrefixPopularity::len).sum()
    }

    pub(super) fn time_to_live_ms(&self) -> u64 {
        self.time_to_live.ms()
    }

    fn load_mut(&mut self, upstream: UpstreamId) -> &mut EngineLoad {
        self.loads.get_or_insert_with(upstream, EngineLoad::default)
    }

    fn count(&mut self, request: &PlacementRequest<'_>, now_ms: u64) {
        let heat = self.heat.get_or_insert_with(request.model, PrefixPopularity::default);
        let work = 1.0 + request.output_tokens as f32 / 1_024.0;
        heat.record_request(work, now_ms);
        for level in request.prompt.levels() {
            heat.record_prefix(level.hash, work, now_ms);
        }
    }

    /// Notes the prefixes of a prompt that an engine has just computed.
    fn remember(
        &mut self,
        placement: &Placement,
        start: Option<EngineStart>,
        weights: WeightsTag,
        prompt: &PromptSummary,
        now_ms: u64,
    ) {
        let Some(start) = start else { return };
        let load = self.load_mut(placement.upstream);
        let is_present = load.observe_start_in_response(start, placement.sent_ms, now_ms);
        if !is_present || start.weights != weights {
            return;
        }
        let lives_ms = self.time_to_live.ms();
        for level in prompt.levels() {
            let Placement { upstream, .. } = *placement;
            self.knowledge.insert(level.hash, upstream, start.incarnation, now_ms, lives_ms);
        }
    }

    fn place_at_least_cost(
        &mut self,
        request: &PlacementRequest<'_>,
        gate: &impl Availability,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        self.heat.get_or_insert_with(request.model, PrefixPopularity::default);
        let heat = self.heat.get(request.model).expect("the model's heat was just made");
        let engines = self.fleet.of_model(request.model);
        order_candidates(&mut self.order, engines, request.prompt, heat, now_ms);
        let rates = self.rates.get(request.model).copied().unwrap_or_default();
        let levels = LevelFacts::of(request.prompt, heat, &self.knowledge);
        let has_cache_store = self.has_cache_store;
        let pricing = Pricing { request, rates, levels, has_cache_store, now_ms };
        let mut choice = Choice { pricing, loads: &self.loads, gate, best: None };
        for (place, engine) in self.order.engines().take(ORDERED).enumerate() {
            // The first width is the order itself, which credits nothing.
            choice.consider(engine.upstream, self.order.level_count_at(place) - 1);
        }
        if self.order.engines().next().is_none() {
            // Nothing of the prompt can be cached, so the load alone decides.
            for _ in 0..PRICED_STRANGERS.min(engines.len()) {
                let stranger = engines[rng.random_range(0..engines.len())];
                choice.consider(stranger.upstream, 0);
            }
        }
        if choice.best.is_none() {
            engines.iter().for_each(|engine| choice.consider(engine.upstream, 0));
        }
        choice.best.map(|best| best.placement)
    }
}

/// The cheapest candidate so far.
struct Choice<'a, G> {
    pricing: Pricing<'a>,
    loads: &'a EntityMap<UpstreamId, EngineLoad>,
    gate: &'a G,
    best: Option<Priced>,
}

impl<G: Availability> Choice<'_, G> {
    /// Prices an engine that is in the sets of the first `set_levels` levels.
    fn consider(&mut self, upstream: UpstreamId, set_levels: usize) {
        if self.pricing.request.excluded.contains(&upstream) {
            return;
        }
        let Some(overload) = self.gate.overload(upstream) else { return };
        let priced = self.pricing.price(upstream, self.loads.get(upstream), set_levels, overload);
        if self.best.is_none_or(|best| priced.cost_ms < best.cost_ms) {
            self.best = Some(priced);
        }
    }
}

fn order_candidates(
    order: &mut CandidateOrder,
    engines: &[Engine],
    prompt: &PromptSummary,
    heat: &PrefixPopularity,
    now_ms: u64,
) {
    let width = |level: &Level| {
        let share = heat.share(level.hash, now_ms);
        let width = (share * engines.len() as f64 * SET_WIDTH_PART).ceil() as usize;
        width.next_power_of_two()
    };
    let mut levels = prompt.levels();
    let Some(first) = levels.next() else {
        order.begin(&[], crate::blocks::BlockHash(0), 0);
        return;
    };
    let whole = (width(first) * SPILL_FACTOR).max(MIN_ORDER_WIDTH);
    order.begin(engines, first.hash, whole);
    order.select_first(width(first));
    let mut longest = first.hash;
    for level in levels {
        order.narrow(level.hash, width(level));
        longest = level.hash;
    }
    order.rank_front(longest);
}
