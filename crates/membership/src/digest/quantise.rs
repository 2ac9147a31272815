//! Logarithmic quantisation of quantities to one byte.

use serde::Deserialize;
use serde::Serialize;

/// Levels per doubling of the quantity.
const STEPS_PER_OCTAVE: f64 = 8.0;

/// The quantised load of one engine, in three bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct EngineLevel {
    /// Level of the running requests.
    pub running_level: u8,
    /// Level of the waiting requests.
    pub waiting_level: u8,
    /// Level of the prompt tokens of waiting requests.
    pub waiting_tokens_level: u8,
}

impl EngineLevel {
    /// Quantises a load.
    pub fn new(running: u64, waiting: u64, waiting_tokens: u64) -> Self {
        Self {
            running_level: Self::level_of(running),
            waiting_level: Self::level_of(waiting),
            waiting_tokens_level: Self::level_of(waiting_tokens),
        }
    }

    /// Returns the running requests, within a sixteenth of an octave.
    pub fn running(self) -> u64 {
        Self::quantity_of(self.running_level)
    }

    /// Returns the waiting requests, within a sixteenth of an octave.
    pub fn waiting(self) -> u64 {
        Self::quantity_of(self.waiting_level)
    }

    /// Returns the prompt tokens of waiting requests, within a sixteenth of an octave.
    pub fn waiting_tokens(self) -> u64 {
        Self::quantity_of(self.waiting_tokens_level)
    }

    /// Returns whether another load differs by more than the jitter between two polls.
    pub fn differs_from(self, other: Self) -> bool {
        /// A step is an eighth of an octave; a change by two steps, about a fifth, is published.
        const TOLERANCE_STEPS: u8 = 1;
        self.running_level.abs_diff(other.running_level) > TOLERANCE_STEPS
            || self.waiting_level.abs_diff(other.waiting_level) > TOLERANCE_STEPS
            || self.waiting_tokens_level.abs_diff(other.waiting_tokens_level) > TOLERANCE_STEPS
    }

    /// Returns the level of a quantity.
    pub fn level_of(quantity: u64) -> u8 {
        let level = ((quantity as f64 + 1.0).log2() * STEPS_PER_OCTAVE).round();
        level.min(f64::from(u8::MAX)) as u8
    }

    /// Returns the quantity in the middle of a level.
    pub fn quantity_of(level: u8) -> u64 {
        ((f64::from(level) / STEPS_PER_OCTAVE).exp2() - 1.0).round() as u64
    }
}
