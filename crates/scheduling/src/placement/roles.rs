//! Which engines serve short prompts and which long ones.
//!
//! Answers this load: long prompts are read in pieces between the tokens of other answers, so one
//! long prompt every half second makes the short answers of its engine several times slower. A part
//! of the engines is kept for short prompts; all nodes agree on it by the list alone. Engines with
//! the newest weights come first, since short requests are most of the worth.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::UpstreamIndex;

/// A prompt with more tokens than this is long: reading it takes several decode steps.
const LONG_PROMPT_TOKENS: u32 = 2_048;

/// The part of the engines that is kept for short prompts, in percent.
const SHORT_PERCENT: usize = 30;

/// Returns whether a prompt is long.
pub fn is_long(prompt_tokens: u32) -> bool {
    prompt_tokens > LONG_PROMPT_TOKENS
}

/// The engines that are kept for short prompts.
#[derive(Clone, Debug, Default)]
pub struct Roles {
    short: HashSet<UpstreamIndex>,
}

impl Roles {
    /// Chooses among the engines of a service: each with its identity and whether it holds the
    /// newest weights.
    pub fn choose<'a>(engines: impl Iterator<Item = (UpstreamIndex, &'a str, bool)>) -> Self {
        let mut ranked: Vec<_> = engines
            .map(|(index, id, is_newest)| (!is_newest, xxh3_64(id.as_bytes()), index))
            .collect();
        ranked.sort_unstable();
        let count = match ranked.len() {
            0 | 1 => 0,
            len => (len * SHORT_PERCENT).div_ceil(100),
        };
        Self { short: ranked.into_iter().take(count).map(|(_, _, index)| index).collect() }
    }

    /// Returns whether an engine is kept for short prompts.
    pub fn is_short(&self, index: UpstreamIndex) -> bool {
        self.short.contains(&index)
    }
}
