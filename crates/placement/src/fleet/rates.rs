//! How fast the engines of a model work, learned from what requests met.
//!
//! A first token's time holds the wait besides the computing, so the time to compute a token is the
//! least that any of the last samples shows.

/// The assumption before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 0.05;

/// Bounds of the estimate.
const MIN_MS_PER_TOKEN: f64 = 0.000_5;
const MAX_MS_PER_TOKEN: f64 = 10.0;

/// Samples with fewer computed tokens say more of the network than of the engine.
const MIN_SAMPLE_TOKENS: u64 = 512;

/// Samples that the least is taken of.
const SAMPLE_COUNT: usize = 32;

/// The first guess of how long a request takes.
const INITIAL_REQUEST_MS: f64 = 1_000.0;

/// The weight of one request in the averages.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The first guess of import time as a share of compute time.
const IMPORT_TIME_SHARE: f64 = 0.25;

/// The time an import takes before its first block.
const IMPORT_SETUP_MS: f64 = 10.0;

const IMPORT_YIELD_WEIGHT: f64 = 0.2;

/// Learned speeds of one model.
#[derive(Clone, Copy, Debug)]
pub struct ModelRates {
    samples: [f64; SAMPLE_COUNT],
    next_sample: usize,
    request_ms: f64,
    uncached_share: f64,
    import_yield: f64,
}

impl Default for ModelRates {
    fn default() -> Self {
        Self {
            samples: [INITIAL_MS_PER_TOKEN; SAMPLE_COUNT],
            next_sample: 0,
            request_ms: INITIAL_REQUEST_MS,
            uncached_share: 1.0,
            import_yield: 1.0,
        }
    }
}

impl ModelRates {
    /// Returns the time to compute one prompt token.
    pub fn ms_per_token(&self) -> f64 {
        self.samples.iter().copied().fold(MAX_MS_PER_TOKEN, f64::min)
    }

    /// Returns how long a request takes from sending to its end.
    pub fn request_ms(&self) -> f64 {
        self.request_ms
    }

    /// Returns the share of prompt tokens that engines do not have cached.
    pub fn uncached_share(&self) -> f64 {
        self.uncached_share
    }

    /// Takes in the first-token time of a request and the prompt tokens computed for it.
    pub fn observe_first_token(&mut self, first_token_ms: f64, prefilled_tokens: u64) {
        if prefilled_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = first_token_ms / prefilled_tokens as f64;
        self.samples[self.next_sample] = sample.clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
        self.next_sample = (self.next_sample + 1) % SAMPLE_COUNT;
    }

    /// Takes in a whole request: how long it took, and how much of its prompt was missing.
    pub fn observe_request(&mut self, request_ms: f64, uncached_share: f64) {
        self.request_ms += AVERAGE_WEIGHT * (request_ms - self.request_ms);
        self.uncached_share += AVERAGE_WEIGHT * (uncached_share - self.uncached_share);
    }

    /// Takes in what became of an ordered import: the first-token time, the tokens that the engine
    /// did not have cached, and the tokens that were to be imported.
    ///
    /// An engine may or may not count imported tokens as cached; a first token sooner than the
    /// computing would have taken tells as well.
    pub fn observe_import(
        &mut self,
        first_token_ms: f64,
        uncached_tokens: u64,
        requested_tokens: u64,
    ) {
        let counted_share =
            requested_tokens.saturating_sub(uncached_tokens) as f64 / requested_tokens as f64;
        let prefill_ms = uncached_tokens as f64 * self.ms_per_token();
        let timed_share = 1.0 - first_token_ms / prefill_ms.max(1.0);
        let imported_share =
            counted_share.max(timed_share / (1.0 - IMPORT_TIME_SHARE)).clamp(0.0, 1.0);
        self.import_yield += IMPORT_YIELD_WEIGHT * (imported_share - self.import_yield);
    }

    /// Returns the time saved by importing tokens in place of computing them; negative for a loss.
    pub fn import_gain_ms(&self, tokens: u64) -> f64 {
        let prefill_ms = tokens as f64 * self.ms_per_token();
        let import_ms = IMPORT_SETUP_MS + prefill_ms * IMPORT_TIME_SHARE;
        prefill_ms * self.import_yield - import_ms
    }
}
