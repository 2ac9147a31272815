//! The assignment of engines to short and long prompts.
//!
//! Engines prefill long prompts in chunks between the decode steps of other requests, so one long
//! prompt every half second makes the short responses of its engine several times slower. Some
//! engines are therefore reserved for short prompts; all nodes derive the same ones from the list.
//! Engines with the newest weights are reserved first, because short requests carry most of the
//! value, and among those the slowest: a short prompt is in time on a slow engine, a cold long one
//! often only on a fast one.
//!
//! At the start of a roll-out few engines hold the new weights. Only the share of requests that
//! these engines can serve prefers them. Otherwise all nodes would send to the first updated engine
//! before they receive each other's load.

use std::cmp::Reverse;
use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::engine_model::SpeedClass;
use crate::fleet::UpstreamIndex;

/// Capacity relative to the mean load, for variations of the arrivals within a second.
const HEADROOM: f64 = 1.5;

/// The minimum and maximum percentage of engines that are reserved for short prompts.
const MIN_SHORT_PERCENT: usize = 25;
const MAX_SHORT_PERCENT: usize = 75;

/// Arrivals of prompts at all nodes, per second.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ArrivalRates {
    /// Short prompts.
    pub short_per_s: u32,
    /// Long prompts.
    pub long_per_s: u32,
}

/// The engine time of usual prompts, in milliseconds.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PromptCosts {
    /// A short prompt: its prefill and its share of the decode steps.
    pub short_ms: f64,
    /// A long prompt, some of whose shared prefix is cached.
    pub long_ms: f64,
    /// The number of engines whose memory holds the long prefixes in use.
    pub prefix_engines: f64,
    /// A long prompt at an engine with new weights, where nothing is cached yet.
    pub cold_long_ms: f64,
}

/// An engine that gets a role.
#[derive(Clone, Copy, Debug)]
pub struct RoleEngine<'a> {
    /// The engine at this node.
    pub index: UpstreamIndex,
    /// Its identity.
    pub id: &'a str,
    /// Whether it holds the newest weights.
    pub is_newest: bool,
    /// Its speed.
    pub speed_class: SpeedClass,
}

/// The engines that are reserved for short prompts.
#[derive(Clone, Debug, Default)]
pub struct EngineRoles {
    short: HashSet<UpstreamIndex>,
    has_long: bool,
    newest_share: [f64; 2],
}

impl EngineRoles {
    /// Assigns roles to the engines of a service.
    pub fn choose<'a>(
        engines: impl Iterator<Item = RoleEngine<'a>>,
        rates: ArrivalRates,
        costs: PromptCosts,
    ) -> Self {
        let mut ranked: Vec<_> = engines
            .map(|engine| {
                let hash = xxh3_64(engine.id.as_bytes());
                (!engine.is_newest, Reverse(engine.speed_class), hash, engine.index)
            })
            .collect();
        ranked.sort_unstable();
        let capacity = |ranked: &[(bool, Reverse<SpeedClass>, u64, UpstreamIndex)]| -> f64 {
            ranked.iter().map(|(_, class, _, _)| class.0.capacity()).sum()
        };
        // Returns how many of the first engines have this capacity.
        let count_for = |needed: f64| {
            let counts = 0..ranked.len();
            let mut sum = 0.0;
            let is_short = |index: &usize| {
                let is_short = sum < needed;
                sum += ranked[*index].1.0.capacity();
                is_short
            };
            counts.take_while(is_short).count()
        };
        let count = match ranked.len() {
            0 | 1 => 0,
            len => {
                let needed = f64::from(rates.short_per_s) * costs.short_ms / 1_000.0 * HEADROOM;
                let min_count = (len * MIN_SHORT_PERCENT).div_ceil(100);
                let max_count = (len * MAX_SHORT_PERCENT / 100).max(1);
                // The engines for long prompts need time for them and memory for their prefixes.
                let long = f64::from(rates.long_per_s) * costs.long_ms / 1_000.0 * HEADROOM;
                let share = needed / (needed + long).max(f64::MIN_POSITIVE);
                let spare = (len as f64 - costs.prefix_engines).max(0.0).ceil() as usize;
                count_for(needed)
                    .max(count_for(capacity(&ranked) * share).min(spare))
                    .clamp(min_count.min(max_count), max_count)
            }
        };
        let has_long = ranked.len() > count;
        let newest = ranked.partition_point(|(is_old, _, _, _)| !is_old);
        let newest_short = &ranked[..newest.min(count.max(1))];
        let newest_long = &ranked[count.min(newest)..newest];
        let newest_share = [
            capacity_share(capacity(newest_short), rates.short_per_s, costs.short_ms),
            capacity_share(capacity(newest_long), rates.long_per_s, costs.cold_long_ms),
        ];
        let short = ranked.iter().take(count).map(|(_, _, _, index)| *index).collect();
        Self { short, has_long, newest_share }
    }

    /// Returns the share of short or long prompts, from zero to one, that the engines with the
    /// newest weights can serve.
    pub fn newest_share(&self, is_long: bool) -> f64 {
        self.newest_share[usize::from(is_long)]
    }

    /// Returns whether any engine is available for long prompts.
    pub fn has_long(&self) -> bool {
        self.has_long
    }

    /// Returns whether an engine is reserved for short prompts.
    pub fn is_short(&self, index: UpstreamIndex) -> bool {
        self.short.contains(&index)
    }
}

/// Returns the share of the arrivals that engines of a total capacity can serve.
fn capacity_share(capacity: f64, arrivals_per_s: u32, cost_ms: f64) -> f64 {
    let needed = f64::from(arrivals_per_s) * cost_ms / 1_000.0 * HEADROOM;
    if needed <= capacity { 1.0 } else { capacity / needed }
}
