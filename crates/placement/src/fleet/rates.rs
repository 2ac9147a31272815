//! How fast the engines of a model compute and import prompts, learned from first tokens.
//!
//! A first token's time holds the wait besides the computing. The estimate therefore follows the
//! fastest samples: it falls quickly and rises slowly.

/// The assumption before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 0.05;

/// Bounds of the estimate.
const MIN_MS_PER_TOKEN: f64 = 0.000_5;
const MAX_MS_PER_TOKEN: f64 = 10.0;

/// Samples with fewer computed tokens say more of the network than of the engine.
const MIN_SAMPLE_TOKENS: u64 = 256;

const FALL_WEIGHT: f64 = 0.3;
const RISE_WEIGHT: f64 = 0.02;

/// The first guess of import time as a share of compute time.
const IMPORT_SHARE: f64 = 0.25;

/// The time an import takes before its first block.
const IMPORT_SETUP_MS: f64 = 10.0;

const YIELD_WEIGHT: f64 = 0.2;

/// Learned speeds of one model.
#[derive(Clone, Copy, Debug)]
pub struct ModelRates {
    ms_per_token: f64,
    import_yield: f64,
}

impl Default for ModelRates {
    fn default() -> Self {
        Self { ms_per_token: INITIAL_MS_PER_TOKEN, import_yield: 1.0 }
    }
}

impl ModelRates {
    /// Returns the time to compute one prompt token.
    pub fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }

    /// Takes in the first-token time of a request and the prompt tokens computed for it.
    pub fn observe_first_token(&mut self, first_token_ms: f64, computed_tokens: u64) {
        if computed_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = first_token_ms / computed_tokens as f64;
        let weight = if sample < self.ms_per_token { FALL_WEIGHT } else { RISE_WEIGHT };
        // A sample far above the estimate is a wait; it counts as twice the estimate at most.
        let sample = sample.min(self.ms_per_token * 2.0);
        let next = self.ms_per_token + weight * (sample - self.ms_per_token);
        self.ms_per_token = next.clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
    }

    /// Takes in what became of an ordered import: the first-token time, the tokens that the engine
    /// did not have cached, and the tokens that were to be imported.
    ///
    /// An engine may or may not count imported tokens as cached; a first token sooner than the
    /// computing would have taken tells as well.
    pub fn observe_import(&mut self, first_token_ms: f64, missing_tokens: u64, ordered: u64) {
        let counted = ordered.saturating_sub(missing_tokens) as f64 / ordered as f64;
        let compute_ms = missing_tokens as f64 * self.ms_per_token;
        let timed = 1.0 - first_token_ms / compute_ms.max(1.0);
        let share = counted.max(timed / (1.0 - IMPORT_SHARE)).clamp(0.0, 1.0);
        self.import_yield += YIELD_WEIGHT * (share - self.import_yield);
    }

    /// Returns the time saved by importing tokens in place of computing them; negative for a loss.
    pub fn import_gain_ms(&self, tokens: u64) -> f64 {
        let compute_ms = tokens as f64 * self.ms_per_token;
        let import_ms = IMPORT_SETUP_MS + compute_ms * IMPORT_SHARE;
        compute_ms * self.import_yield - import_ms
    }
}
