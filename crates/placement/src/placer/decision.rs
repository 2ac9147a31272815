//! The placer: its state and the placement decision.

use rand::Rng;

use super::cost::CostModel;
use super::cost::LevelInfo;
use super::cost::PricedCandidate;
use super::explanation::PlacementExplanation;
use super::explanation::PlacementOption;
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
use crate::candidates::PrefixPopularity;
use crate::candidates::RANKED_ENGINES;
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

/// The number of random engines considered for a prompt without a cacheable prefix.
const RANDOM_CANDIDATES: usize = 2;

/// The width of the candidate order relative to the widest set, which leaves engines for spillover,
/// and its minimum in engines.
const SPILLOVER_FACTOR: usize = 2;
const MIN_ORDER_WIDTH: usize = 4;

/// The width of a set relative to its prefix's share of the fleet, before rounding up to a power of
/// two. Coarse widths let nodes with slightly different shares agree. Excess load spills over by
/// cost.
const SET_WIDTH_FACTOR: f64 = 0.5;

/// The maximum rate of processed cache events.
const MAX_EVENTS_PER_S: u64 = 500;

/// Chooses engines for prompts from their load and cached prefixes.
#[derive(Clone, Debug)]
pub struct Placer {
    policy: Policy,
    pub(super) fleet: Fleet,
    has_cache_store: bool,
    pub(super) loads: EntityMap<UpstreamId, EngineLoad>,
    rates: EntityMap<ModelId, ModelRates>,
    popularity: EntityMap<ModelId, PrefixPopularity>,
    cached_prefixes: CachedPrefixes,
    time_to_live: TimeToLive,
    event_limiter: EventLimiter,
    pub(super) order: CandidateOrder,
}

impl Placer {
    /// Creates a placer without engines.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            fleet: Fleet::default(),
            has_cache_store: false,
            loads: EntityMap::new(),
            rates: EntityMap::new(),
            popularity: EntityMap::new(),
            cached_prefixes: CachedPrefixes::default(),
            time_to_live: TimeToLive::default(),
            event_limiter: EventLimiter::new(MAX_EVENTS_PER_S),
            order: CandidateOrder::default(),
        }
    }

    /// Replaces the set of engines.
    pub fn set_engines<'a>(&mut self, specs: impl IntoIterator<Item = EngineSpec<'a>>) {
        self.fleet.set_engines(specs);
    }

    /// Sets whether a KV cache store is available for imports.
    pub fn set_cache_store(&mut self, present: bool) {
        self.has_cache_store = present;
    }

    /// Processes an engine's load report. Returns whether it shows that the engine restarted.
    pub fn observe_load(
        &mut self,
        upstream: UpstreamId,
        report: LoadReport,
        observed_ms: u64,
    ) -> bool {
        self.load_mut(upstream).observe(report, observed_ms)
    }

    /// Processes a cache event, subject to the rate limit. Only prefixes in use are added to the
    /// cache index.
    pub fn observe_cache_event(
        &mut self,
        model: ModelId,
        upstream: UpstreamId,
        start: EngineStart,
        event: CacheEvent,
        now_ms: u64,
    ) {
        if !self.event_limiter.try_acquire(now_ms) {
            return;
        }
        match event {
            CacheEvent::Removed(prefix) => self.cached_prefixes.remove(prefix, upstream),
            CacheEvent::Stored(prefix) => {
                let in_use = self
                    .popularity
                    .get(model)
                    .is_some_and(|popularity| popularity.is_tracked(prefix));
                if in_use {
                    let time_to_live_ms = self.time_to_live.ms();
                    self.cached_prefixes.insert(
                        prefix,
                        upstream,
                        start.incarnation,
                        now_ms,
                        time_to_live_ms,
                    );
                }
            }
        }
    }

    /// Chooses an engine and records the request as sent to it. Returns `None` if no engine is
    /// available.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        availability: &impl Availability,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let mut placement = match self.policy {
            Policy::Random => self.place_random(request, availability, rng),
            Policy::LeastLoaded => self.place_least_loaded(request, availability, rng),
            Policy::Affinity => self.place_by_affinity(request, availability),
            Policy::Redwingrill => {
                self.place_at_least_cost(request, availability, now_ms, rng, |_| {})
            }
        }?;
        placement.sent_ms = now_ms;
        self.record_popularity(request, now_ms);
        let uncached_tokens =
            request.prompt.tokens.saturating_sub(placement.expected_cached_tokens);
        self.load_mut(placement.upstream).record_sent(uncached_tokens, now_ms);
        Some(placement)
    }

    /// Processes the first token of a request: the engine has now cached the whole prompt.
    pub fn first_token(&mut self, event: &FirstToken<'_>, now_ms: u64) {
        self.index_prompt(event.placement, event.start, event.weights, event.prompt, now_ms);
    }

    /// Processes the end of a request.
    pub fn finish(&mut self, event: &Finished<'_>, now_ms: u64) {
        let placement = event.placement;
        self.load_mut(placement.upstream).record_finished(placement.sent_ms);
        let Some(cached_tokens) = event.cached_tokens else { return };
        let rates = self.rates.get_or_insert_with(event.model, ModelRates::default);
        let prefilled_tokens = event.prompt.tokens.saturating_sub(cached_tokens);
        let request_ms = now_ms.saturating_sub(placement.sent_ms) as f64;
        let prompt_tokens = event.prompt.tokens.max(1) as f64;
        rates.observe_request(request_ms, prefilled_tokens as f64 / prompt_tokens);
        match event.first_token_ms {
            Some(first_token_ms) if placement.import_tokens > 0 => {
                rates.observe_import(first_token_ms, prefilled_tokens, placement.import_tokens);
            }
            Some(first_token_ms) => rates.observe_first_token(first_token_ms, prefilled_tokens),
            None => {}
        }
        self.index_prompt(placement, event.start, event.weights, event.prompt, now_ms);
    }

    /// Returns the load of an engine, if known.
    pub fn load(&self, upstream: UpstreamId) -> Option<&EngineLoad> {
        self.loads.get(upstream)
    }

    /// Returns the learned rates of a model.
    pub fn rates(&self, model: ModelId) -> ModelRates {
        self.rates.get(model).copied().unwrap_or_default()
    }

    /// Checks the invariants and returns the first violation as an error.
    pub fn verify(&self) -> Result<(), String> {
        self.fleet.verify()?;
        self.order.verify()?;
        self.cached_prefixes.verify()
    }

    pub(super) fn policy(&self) -> Policy {
        self.policy
    }

    pub(super) fn prefixes_known(&self) -> usize {
        self.cached_prefixes.len()
    }

    pub(super) fn prefixes_followed(&self) -> usize {
        self.popularity.values().map(PrefixPopularity::len).sum()
    }

    pub(super) fn time_to_live_ms(&self) -> u64 {
        self.time_to_live.ms()
    }

    fn load_mut(&mut self, upstream: UpstreamId) -> &mut EngineLoad {
        self.loads.get_or_insert_with(upstream, EngineLoad::default)
    }

    fn record_popularity(&mut self, request: &PlacementRequest<'_>, now_ms: u64) {
        let popularity =
            self.popularity.get_or_insert_with(request.model, PrefixPopularity::default);
        let work = 1.0 + request.output_tokens as f32 / 1_024.0;
        popularity.record_request(work, now_ms);
        for level in request.prompt.levels() {
            popularity.record_prefix(level.hash, work, now_ms);
        }
    }

    /// Adds the prefixes of a prompt that an engine has just prefilled to the cache index.
    fn index_prompt(
        &mut self,
        placement: &Placement,
        start: Option<EngineStart>,
        weights: WeightsTag,
        prompt: &PromptSummary,
        now_ms: u64,
    ) {
        let Some(start) = start else { return };
        let load = self.load_mut(placement.upstream);
        let is_current = load.observe_start_in_response(start, placement.sent_ms, now_ms);
        if !is_current || start.weights != weights {
            return;
        }
        let time_to_live_ms = self.time_to_live.ms();
        for level in prompt.levels() {
            let Placement { upstream, .. } = *placement;
            self.cached_prefixes.insert(
                level.hash,
                upstream,
                start.incarnation,
                now_ms,
                time_to_live_ms,
            );
        }
    }

    /// Explains the decision on a prompt that is not sent. `rng` must be a copy of the generator
    /// that the decision would use.
    pub fn explain(
        &self,
        request: &PlacementRequest<'_>,
        availability: &impl Availability,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> PlacementExplanation {
        let mut copy = self.clone();
        let mut considered = Vec::new();
        let placement = match copy.policy {
            Policy::Redwingrill => {
                let observe = |priced: &PricedCandidate| {
                    considered.push((priced.placement.upstream, priced.cost));
                };
                copy.place_at_least_cost(request, availability, now_ms, rng, observe)
            }
            _ => copy.place(request, availability, now_ms, rng),
        };
        let engines = self.fleet.of_model(request.model).iter();
        let engines = engines.map(|engine| {
            let upstream = engine.upstream;
            let cost = considered.iter().find(|(known, _)| *known == upstream);
            PlacementOption {
                upstream,
                is_excluded: request.excluded.contains(&upstream),
                is_available: availability.overload(upstream).is_some(),
                cost: cost.map(|(_, cost)| *cost),
            }
        });
        PlacementExplanation { placement, engines: engines.collect() }
    }

    fn place_at_least_cost(
        &mut self,
        request: &PlacementRequest<'_>,
        availability: &impl Availability,
        now_ms: u64,
        rng: &mut impl Rng,
        observe: impl FnMut(&PricedCandidate),
    ) -> Option<Placement> {
        self.popularity.get_or_insert_with(request.model, PrefixPopularity::default);
        let popularity =
            self.popularity.get(request.model).expect("popularity of the model was inserted above");
        let engines = self.fleet.of_model(request.model);
        order_candidates(&mut self.order, engines, request.prompt, popularity, now_ms);
        let rates = self.rates.get(request.model).copied().unwrap_or_default();
        let levels = LevelInfo::of(request.prompt, popularity, &self.cached_prefixes);
        let has_cache_store = self.has_cache_store;
        let cost_model = CostModel { request, rates, levels, has_cache_store, now_ms };
        let mut selection =
            Selection { cost_model, loads: &self.loads, availability, observe, best: None };
        for (position, engine) in self.order.engines().take(RANKED_ENGINES).enumerate() {
            // The first width is that of the whole order, which is not a prefix level.
            selection.consider(engine.upstream, self.order.set_count_at(position) - 1);
        }
        if self.order.engines().next().is_none() {
            // The prompt has no cacheable prefix, so only the load matters.
            for _ in 0..RANDOM_CANDIDATES.min(engines.len()) {
                let engine = engines[rng.random_range(0..engines.len())];
                selection.consider(engine.upstream, 0);
            }
        }
        if selection.best.is_none() {
            engines.iter().for_each(|engine| selection.consider(engine.upstream, 0));
        }
        selection.best.map(|best| best.placement)
    }
}

/// The selection of the cheapest candidate.
struct Selection<'a, G, O> {
    cost_model: CostModel<'a>,
    loads: &'a EntityMap<UpstreamId, EngineLoad>,
    availability: &'a G,
    // Is called with each candidate that has a cost.
    observe: O,
    best: Option<PricedCandidate>,
}

impl<G: Availability, O: FnMut(&PricedCandidate)> Selection<'_, G, O> {
    /// Considers an engine that is in the candidate sets of the first `matching_levels` levels.
    fn consider(&mut self, upstream: UpstreamId, matching_levels: usize) {
        if self.cost_model.request.excluded.contains(&upstream) {
            return;
        }
        let Some(overload) = self.availability.overload(upstream) else { return };
        let priced =
            self.cost_model.price(upstream, self.loads.get(upstream), matching_levels, overload);
        (self.observe)(&priced);
        if self.best.is_none_or(|best| priced.cost.total_ms() < best.cost.total_ms()) {
            self.best = Some(priced);
        }
    }
}

fn order_candidates(
    order: &mut CandidateOrder,
    engines: &[Engine],
    prompt: &PromptSummary,
    popularity: &PrefixPopularity,
    now_ms: u64,
) {
    let width = |level: &Level| {
        let share = popularity.share(level.hash, now_ms);
        let width = (share * engines.len() as f64 * SET_WIDTH_FACTOR).ceil() as usize;
        width.next_power_of_two()
    };
    let mut levels = prompt.levels();
    let Some(first) = levels.next() else {
        order.begin(&[], crate::blocks::BlockHash(0), 0);
        return;
    };
    let order_width = (width(first) * SPILLOVER_FACTOR).max(MIN_ORDER_WIDTH);
    order.begin(engines, first.hash, order_width);
    order.select_first(width(first));
    let mut longest = first.hash;
    for level in levels {
        order.narrow(level.hash, width(level));
        longest = level.hash;
    }
    order.rank_front(longest);
}
