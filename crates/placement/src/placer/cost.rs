//! The cost model for starting a prompt on an engine.

use super::types::Placement;
use super::types::PlacementRequest;
use crate::blocks::MAX_LEVELS;
use crate::blocks::PromptSummary;
use crate::cache_index::CacheLocation;
use crate::cache_index::CachedPrefixes;
use crate::candidates::PrefixPopularity;
use crate::fleet::EngineLoad;
use crate::fleet::Incarnation;
use crate::fleet::ModelRates;
use redwingrill_entity::UpstreamId;

/// The weight of prefill time relative to waiting time. Prefilling also delays the requests queued
/// behind it.
const PREFILL_WEIGHT: f64 = 5.0;

/// The delay that each request at an engine adds to a new request.
const REQUEST_COST_MS: f64 = 0.5;

/// The added cost of an engine at twice its limit.
const OVERLOAD_COST_MS: f64 = 400.0;

/// The share of a prefix assumed cached at a preferred engine, to which the prefix hashes.
const PREFERRED_CACHED_SHARE: f64 = 0.95;

/// The share of a prefix assumed cached at a spillover engine.
const SPILLOVER_CACHED_SHARE: f64 = 0.5;

/// The time after a restart in which only prefixes in the cache index count as cached at the
/// engine.
const RESTART_WINDOW_MS: u64 = 10_000;

/// The minimum number of tokens worth an import.
const MIN_IMPORT_TOKENS: u64 = 512;

/// The estimated part of a prompt that an engine has cached.
#[derive(Clone, Copy, Debug, Default)]
struct CacheEstimate {
    known_tokens: u64,
    known_age_ms: u64,
    hashed_tokens: f64,
}

impl CacheEstimate {
    fn tokens(self) -> f64 {
        (self.known_tokens as f64).max(self.hashed_tokens)
    }
}

/// The cost of starting a prompt on an engine by components, in milliseconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct PlacementCost {
    /// The prefill, weighted.
    pub prefill_ms: f64,
    /// The wait for the prompts that the engine has.
    pub wait_ms: f64,
    /// The requests at the engine.
    pub requests_ms: f64,
    /// Requests beyond the engine's limit.
    pub overload_ms: f64,
}

impl PlacementCost {
    /// Returns the sum of the components.
    pub fn total_ms(&self) -> f64 {
        self.prefill_ms + self.wait_ms + self.requests_ms + self.overload_ms
    }
}

/// A candidate with its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct PricedCandidate {
    pub(super) cost: PlacementCost,
    pub(super) placement: Placement,
}

/// The properties of a prefix level that are the same for all candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelInfo<'a> {
    tokens: u64,
    in_first_message: bool,
    /// Whether this node has recently seen the prefix.
    is_tracked: bool,
    /// Whether the prefix is assumed cached at the engines it hashes to.
    is_assumed_cached: bool,
    locations: &'a [CacheLocation],
}

impl<'a> LevelInfo<'a> {
    /// Looks up each level of a prompt once. All levels but the last are assumed to be in use at
    /// other nodes, even if this node has not seen them.
    pub(super) fn of(
        prompt: &PromptSummary,
        popularity: &PrefixPopularity,
        cached_prefixes: &'a CachedPrefixes,
    ) -> [Option<Self>; MAX_LEVELS] {
        let mut infos = [None; MAX_LEVELS];
        let last = prompt.level_count().saturating_sub(1);
        for (index, level) in prompt.levels().enumerate() {
            let is_tracked = popularity.is_tracked(level.hash);
            infos[index] = Some(Self {
                tokens: level.tokens(),
                in_first_message: level.in_first_message,
                is_tracked,
                is_assumed_cached: is_tracked || index < last,
                locations: cached_prefixes.locations(level.hash),
            });
        }
        infos
    }
}

/// The inputs that are the same for all candidates of one decision.
pub(super) struct CostModel<'a> {
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) rates: ModelRates,
    pub(super) levels: [Option<LevelInfo<'a>>; MAX_LEVELS],
    pub(super) has_cache_store: bool,
    pub(super) now_ms: u64,
}

impl CostModel<'_> {
    /// Computes the cost of an engine that is in the candidate sets of the first `matching_levels`
    /// levels.
    pub(super) fn price(
        &self,
        upstream: UpstreamId,
        load: Option<&EngineLoad>,
        matching_levels: usize,
        overload: f64,
    ) -> PricedCandidate {
        let cache_estimate = self.cache_estimate(upstream, load, matching_levels);
        let cached_tokens = cache_estimate.tokens().min(self.request.prompt.tokens as f64);
        let uncached_tokens = self.request.prompt.tokens as f64 - cached_tokens;
        let (import_tokens, saved_ms) = self.plan_import(cached_tokens as u64);
        let prefill_ms = (uncached_tokens * self.rates.ms_per_token() - saved_ms).max(0.0);
        let wait_ms = load.map_or(0.0, |load| load.expected_wait_ms(&self.rates, self.now_ms));
        let requests_ms = f64::from(load.map_or(0, EngineLoad::requests)) * REQUEST_COST_MS;
        let placement = Placement {
            upstream,
            expected_cached_tokens: cached_tokens as u64,
            known_tokens: cache_estimate.known_tokens,
            known_age_ms: cache_estimate.known_age_ms,
            import_tokens,
            sent_ms: self.now_ms,
        };
        let cost = PlacementCost {
            prefill_ms: prefill_ms * PREFILL_WEIGHT,
            wait_ms,
            requests_ms,
            overload_ms: overload * OVERLOAD_COST_MS,
        };
        PricedCandidate { cost, placement }
    }

    fn cache_estimate(
        &self,
        upstream: UpstreamId,
        load: Option<&EngineLoad>,
        matching_levels: usize,
    ) -> CacheEstimate {
        let start = load.and_then(EngineLoad::start);
        if start.is_some_and(|start| start.weights != self.request.weights) {
            return CacheEstimate::default();
        }
        let mut cache_estimate = start.map_or(CacheEstimate::default(), |start| {
            self.indexed_prefix(upstream, start.incarnation)
        });
        if !load.is_some_and(|load| load.restarted_within(RESTART_WINDOW_MS, self.now_ms)) {
            cache_estimate.hashed_tokens = self.hashed_tokens(matching_levels);
        }
        cache_estimate
    }

    /// Returns the longest prefix that the cache index lists for the engine.
    fn indexed_prefix(&self, upstream: UpstreamId, incarnation: Incarnation) -> CacheEstimate {
        for level in self.levels.iter().rev().flatten() {
            let mut locations = level.locations.iter();
            let age =
                locations.find_map(|location| location.age_ms(upstream, incarnation, self.now_ms));
            if let Some(known_age_ms) = age {
                return CacheEstimate {
                    known_tokens: level.tokens,
                    known_age_ms,
                    hashed_tokens: 0.0,
                };
            }
        }
        CacheEstimate::default()
    }

    /// Returns the tokens assumed cached for the longest prefix in use whose candidate set contains
    /// the engine. An engine outside all sets is a spillover target of this node and of other
    /// nodes.
    fn hashed_tokens(&self, matching_levels: usize) -> f64 {
        let is_spillover = matching_levels == 0;
        let levels = self.levels.iter().enumerate().rev();
        let mut levels = levels.filter_map(|(index, level)| Some((index, level.as_ref()?)));
        let assumed = levels.find(|(index, level)| {
            level.is_assumed_cached
                && (*index < matching_levels || (is_spillover && level.in_first_message))
        });
        let share = if is_spillover { SPILLOVER_CACHED_SHARE } else { PREFERRED_CACHED_SHARE };
        assumed.map_or(0.0, |(_, level)| level.tokens as f64 * share)
    }

    /// Returns the number of tokens worth importing, and the time saved in milliseconds.
    fn plan_import(&self, cached_tokens: u64) -> (u64, f64) {
        if !self.has_cache_store {
            return (0, 0.0);
        }
        let mut levels = self.levels.iter().rev().flatten();
        let Some(level) = levels.find(|level| level.is_tracked) else { return (0, 0.0) };
        let uncached_tokens = level.tokens.saturating_sub(cached_tokens);
        let saved_ms = self.rates.import_gain_ms(uncached_tokens);
        if uncached_tokens < MIN_IMPORT_TOKENS || saved_ms <= 0.0 {
            return (0, 0.0);
        }
        (uncached_tokens, saved_ms)
    }
}
