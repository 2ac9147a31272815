//! Prefill and import rates of the engines of a model, learned from requests.
//!
//! The time to the first token includes waiting as well as prefill, so the prefill time per token
//! is estimated as the minimum of the last samples.

/// The initial estimate, before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 0.05;

/// Bounds of the estimate.
const MIN_MS_PER_TOKEN: f64 = 0.000_5;
const MAX_MS_PER_TOKEN: f64 = 10.0;

/// The minimum number of prefilled tokens of a sample. The time of smaller ones depends more on the
/// network than on the engine.
const MIN_SAMPLE_TOKENS: u64 = 512;

/// The number of samples over which the minimum is taken.
const SAMPLE_COUNT: usize = 32;

/// The initial estimate of the duration of a request.
const INITIAL_REQUEST_MS: f64 = 1_000.0;

/// The weight of one request in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The assumed import time as a share of the prefill time.
const IMPORT_TIME_SHARE: f64 = 0.25;

/// The setup time of an import, before its first block.
const IMPORT_SETUP_MS: f64 = 10.0;

const IMPORT_YIELD_WEIGHT: f64 = 0.2;

/// Learned rates of a model.
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
    /// Returns the time to prefill one prompt token, in milliseconds.
    pub fn ms_per_token(&self) -> f64 {
        self.samples.iter().copied().fold(MAX_MS_PER_TOKEN, f64::min)
    }

    /// Returns the average duration of a request from sending to its end, in milliseconds.
    pub fn request_ms(&self) -> f64 {
        self.request_ms
    }

    /// Returns the average share of prompt tokens that engines do not have cached.
    pub fn uncached_share(&self) -> f64 {
        self.uncached_share
    }

    /// Records the time to the first token of a request and the number of prompt tokens prefilled.
    pub fn observe_first_token(&mut self, first_token_ms: f64, prefilled_tokens: u64) {
        if prefilled_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = first_token_ms / prefilled_tokens as f64;
        self.samples[self.next_sample] = sample.clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
        self.next_sample = (self.next_sample + 1) % SAMPLE_COUNT;
    }

    /// Records the duration of a request and the share of its prompt that was not cached.
    pub fn observe_request(&mut self, request_ms: f64, uncached_share: f64) {
        self.request_ms += AVERAGE_WEIGHT * (request_ms - self.request_ms);
        self.uncached_share += AVERAGE_WEIGHT * (uncached_share - self.uncached_share);
    }

    /// Records the outcome of a requested import: the time to the first token, the tokens that the
    /// engine reported as not cached, and the tokens requested for import.
    ///
    /// An engine may or may not count imported tokens as cached. A first token that arrives sooner
    /// than prefill allows also shows a successful import.
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

    /// Returns the time saved by importing tokens instead of prefilling them, in milliseconds;
    /// negative for a loss.
    pub fn import_gain_ms(&self, tokens: u64) -> f64 {
        let prefill_ms = tokens as f64 * self.ms_per_token();
        let import_ms = IMPORT_SETUP_MS + prefill_ms * IMPORT_TIME_SHARE;
        prefill_ms * self.import_yield - import_ms
    }
}
