//! The cost of starting a prompt on one engine.

use super::types::Placement;
use super::types::PlacementRequest;
use crate::blocks::MAX_LEVELS;
use crate::blocks::PromptSummary;
use crate::cache_index::CachedPrefixes;
use crate::cache_index::Holder;
use crate::candidates::PrefixPopularity;
use crate::fleet::EngineLoad;
use crate::fleet::Incarnation;
use crate::fleet::ModelRates;
use redwingrill_entity::UpstreamId;

/// Computing a prefix again also delays what waits behind it, so it counts more than a wait.
const COMPUTE_WEIGHT: f64 = 5.0;

/// The delay that each request at an engine adds to a new one.
const REQUEST_MS: f64 = 0.5;

/// The cost of an engine at twice its limit.
const CROWDING_MS: f64 = 400.0;

/// The share of a prefix that an engine is credited with because the prefix hashes to it.
const HASHED_CREDIT: f64 = 0.95;

/// The same for an engine that work spills over to.
const SPILL_CREDIT: f64 = 0.5;

/// The time after a restart in which an engine is credited only with what this node knows.
const EMPTY_WINDOW_MS: u64 = 10_000;

/// Fewer tokens are not worth an import.
const MIN_IMPORT_TOKENS: u64 = 512;

/// What one engine would hold of a prompt.
#[derive(Clone, Copy, Debug, Default)]
struct Credit {
    known_tokens: u64,
    known_age_ms: u64,
    hashed_tokens: f64,
}

impl Credit {
    fn tokens(self) -> f64 {
        (self.known_tokens as f64).max(self.hashed_tokens)
    }
}

/// One candidate with its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Priced {
    pub(super) cost_ms: f64,
    pub(super) placement: Placement,
}

/// What is known of one level, whatever the candidate.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelFacts<'a> {
    tokens: u64,
    in_first_message: bool,
    /// Whether other prompts share the prefix.
    is_tracked: bool,
    /// Whether engines are credited with the prefix because it hashes to them.
    is_credited: bool,
    holders: &'a [Holder],
}

impl<'a> LevelFacts<'a> {
    /// Looks each level of a prompt up once. All levels but the last are taken to be in use at other
    /// nodes, whether this node has seen them or not.
    pub(super) fn of(
        prompt: &PromptSummary,
        heat: &PrefixPopularity,
        knowledge: &'a CachedPrefixes,
    ) -> [Option<Self>; MAX_LEVELS] {
        let mut facts = [None; MAX_LEVELS];
        let last = prompt.level_count().saturating_sub(1);
        for (index, level) in prompt.levels().enumerate() {
            let is_tracked = heat.is_tracked(level.hash);
            facts[index] = Some(Self {
                tokens: level.tokens(),
                in_first_message: level.in_first_message,
                is_tracked,
                is_credited: is_tracked || index < last,
                holders: knowledge.holders(level.hash),
            });
        }
        facts
    }
}

/// What is the same for all candidates of one decision.
pub(super) struct Pricing<'a> {
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) rates: ModelRates,
    pub(super) levels: [Option<LevelFacts<'a>>; MAX_LEVELS],
    pub(super) has_cache_store: bool,
    pub(super) now_ms: u64,
}

impl Pricing<'_> {
    /// Prices an engine that is in the sets of the first `set_levels` levels.
    pub(super) fn price(
        &self,
        upstream: UpstreamId,
        load: Option<&EngineLoad>,
        set_levels: usize,
        overload: f64,
    ) -> Priced {
        let credit = self.credit(upstream, load, set_levels);
        let cached_tokens = credit.tokens().min(self.request.prompt.tokens as f64);
        let missing_tokens = self.request.prompt.tokens as f64 - cached_tokens;
        let (import_tokens, gain_ms) = self.import(cached_tokens as u64);
        let compute_ms = (missing_tokens * self.rates.ms_per_token() - gain_ms).max(0.0);
        let wait_ms = load.map_or(0.0, |load| load.expected_wait_ms(&self.rates, self.now_ms));
        let requests_ms = f64::from(load.map_or(0, EngineLoad::requests)) * REQUEST_MS;
        let placement = Placement {
            upstream,
            expected_cached_tokens: cached_tokens as u64,
            known_tokens: credit.known_tokens,
            known_age_ms: credit.known_age_ms,
            import_tokens,
            sent_ms: self.now_ms,
        };
        let cost_ms = compute_ms * COMPUTE_WEIGHT + wait_ms + requests_ms + overload * CROWDING_MS;
        Priced { cost_ms, placement }
    }

    fn credit(&self, upstream: UpstreamId, load: Option<&EngineLoad>, set_levels: usize) -> Credit {
        let start = load.and_then(EngineLoad::start);
        if start.is_some_and(|start| start.weights != self.request.weights) {
            return Credit::default();
        }
        let mut credit =
            start.map_or(Credit::default(), |start| self.known(upstream, start.incarnation));
        if !load.is_some_and(|load| load.restarted_within(EMPTY_WINDOW_MS, self.now_ms)) {
            credit.hashed_tokens = self.hashed_tokens(set_levels);
        }
        credit
    }

    /// Returns the longest prefix that this node learned the engine holds.
    fn known(&self, upstream: UpstreamId, incarnation: Incarnation) -> Credit {
        for level in self.levels.iter().rev().flatten() {
            let mut holders = level.holders.iter();
            let age = holders.find_map(|holder| holder.age_ms(upstream, incarnation, self.now_ms));
            if let Some(known_age_ms) = age {
                return Credit { known_tokens: level.tokens, known_age_ms, hashed_tokens: 0.0 };
            }
        }
        Credit::default()
    }

    /// Returns the longest prefix in use whose set holds the engine. An engine behind all sets is
    /// the one that work spills over to, here and at other nodes.
    fn hashed_tokens(&self, set_levels: usize) -> f64 {
        let is_spill = set_levels == 0;
        let levels = self.levels.iter().enumerate().rev();
        let mut levels = levels.filter_map(|(index, level)| Some((index, level.as_ref()?)));
        let credited = levels.find(|(index, level)| {
            level.is_credited && (*index < set_levels || (is_spill && level.in_first_message))
        });
        let share = if is_spill { SPILL_CREDIT } else { HASHED_CREDIT };
        credited.map_or(0.0, |(_, level)| level.tokens as f64 * share)
    }

    /// Returns the tokens worth importing and the time that saves.
    fn import(&self, cached_tokens: u64) -> (u64, f64) {
        if !self.has_cache_store {
            return (0, 0.0);
        }
        let mut levels = self.levels.iter().rev().flatten();
        let Some(level) = levels.find(|level| level.is_tracked) else { return (0, 0.0) };
        let missing_tokens = level.tokens.saturating_sub(cached_tokens);
        let gain_ms = self.rates.import_gain_ms(missing_tokens);
        if missing_tokens < MIN_IMPORT_TOKENS || gain_ms <= 0.0 {
            return (0, 0.0);
        }
        (missing_tokens, gain_ms)
    }
}
