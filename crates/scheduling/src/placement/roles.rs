//! Which engines serve short prompts and which long ones.
//!
//! Answers this load: long prompts are read in pieces between the tokens of other answers, so one
//! long prompt every half second makes the short answers of its engine several times slower. A part
//! of the engines is kept for short prompts; all nodes agree on it by the list alone. Engines with
//! the newest weights come first, since short requests are most of the worth.
//!
//! While new weights spread, few engines hold them at first. Only the part of the requests that
//! these can take prefers them: all nodes would send to the first of them at once otherwise, each
//! before it hears of the others' requests.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::UpstreamIndex;

/// A prompt with more tokens than this is long: reading it takes several decode steps.
const LONG_PROMPT_TOKENS: u32 = 2_048;

/// What a short prompt costs an engine among others of its kind, from the engines' data sheet:
/// its part of the decode steps and the reading of its tokens.
pub const SHORT_COST_MS: f64 = 14.0;

/// What a long prompt costs an engine at least: its part of the memory while it runs, which is more
/// than the reading of what is not kept.
pub const LONG_COST_MS: f64 = 100.0;

/// What a long prompt costs an engine with new weights, from the engines' data sheet: the reading
/// of all its 17,000 tokens, since nothing is kept for these weights yet.
const COLD_LONG_COST_MS: f64 = 300.0;

/// Room beyond the mean load, for the swing of arrivals within a second.
const HEADROOM: f64 = 1.5;

/// The least and the largest part of the engines that is kept for short prompts, in percent.
const MIN_SHORT_PERCENT: usize = 25;
const MAX_SHORT_PERCENT: usize = 60;

/// Returns whether a prompt is long.
pub fn is_long(prompt_tokens: u32) -> bool {
    prompt_tokens > LONG_PROMPT_TOKENS
}

/// The prompts that arrive at all nodes in a second.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ArrivalRates {
    /// Short prompts.
    pub short_per_s: u32,
    /// Long prompts.
    pub long_per_s: u32,
}

/// The engines that are kept for short prompts.
#[derive(Clone, Debug, Default)]
pub struct EngineRoles {
    short: HashSet<UpstreamIndex>,
    has_long: bool,
    newest_share: [f64; 2],
}

impl EngineRoles {
    /// Chooses among the engines of a service: each with its identity and whether it holds the
    /// newest weights.
    pub fn choose<'a>(
        engines: impl Iterator<Item = (UpstreamIndex, &'a str, bool)>,
        rates: ArrivalRates,
    ) -> Self {
        let mut ranked: Vec<_> = engines
            .map(|(index, id, is_newest)| (!is_newest, xxh3_64(id.as_bytes()), index))
            .collect();
        ranked.sort_unstable();
        let count = match ranked.len() {
            0 | 1 => 0,
            len => {
                let needed = f64::from(rates.short_per_s) * SHORT_COST_MS / 1_000.0 * HEADROOM;
                let min_count = (len * MIN_SHORT_PERCENT).div_ceil(100);
                let max_count = (len * MAX_SHORT_PERCENT / 100).max(1);
                (needed.ceil() as usize).clamp(min_count.min(max_count), max_count)
            }
        };
        let has_long = ranked.len() > count;
        let newest = ranked.iter().filter(|(is_old, _, _)| !is_old).count();
        let newest_share = [
            capacity_share(newest.min(count.max(1)), rates.short_per_s, SHORT_COST_MS),
            capacity_share(newest.saturating_sub(count), rates.long_per_s, COLD_LONG_COST_MS),
        ];
        let short = ranked.into_iter().take(count).map(|(_, _, index)| index).collect();
        Self { short, has_long, newest_share }
    }

    /// Returns the part of the short or long prompts, from zero to one, that the engines with the
    /// newest weights can take.
    pub fn newest_share(&self, is_long: bool) -> f64 {
        self.newest_share[usize::from(is_long)]
    }

    /// Returns whether there is an engine for long prompts.
    pub fn has_long(&self) -> bool {
        self.has_long
    }

    /// Returns whether an engine is kept for short prompts.
    pub fn is_short(&self, index: UpstreamIndex) -> bool {
        self.short.contains(&index)
    }
}

fn capacity_share(engines: usize, arrivals_per_s: u32, cost_ms: f64) -> f64 {
    let needed = f64::from(arrivals_per_s) * cost_ms / 1_000.0 * HEADROOM;
    if needed <= engines as f64 { 1.0 } else { engines as f64 / needed }
}
