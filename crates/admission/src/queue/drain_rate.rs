//! The drain rate of a queue, used to estimate the wait of a new request.

/// The half-life of an observation.
const HALF_LIFE_MS: f64 = 2_000.0;

/// An exponentially decaying average of the cost started per time, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    started_tokens: f64,
    observed_ms: f64,
    updated_ms: u64,
}

impl DrainRate {
    /// Records the cost of a request that was started from the queue.
    pub fn record_started(&mut self, cost_tokens: u64, now_ms: u64) {
        self.advance(now_ms);
        self.started_tokens += cost_tokens as f64;
    }

    /// Advances the clock over a time in which the queue was not empty.
    pub fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.started_tokens *= decay;
        self.observed_ms = self.observed_ms * decay + elapsed_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Advances the clock over a time in which the queue was empty. It does not count as observed.
    pub fn skip_idle(&mut self, now_ms: u64) {
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the time to start this cost, in milliseconds; `None` if the observed time is too
    /// short.
    pub fn drain_time_ms(&self, cost_tokens: f64) -> Option<f64> {
        let is_observed = self.observed_ms >= HALF_LIFE_MS / 4.0;
        let rate = self.started_tokens / self.observed_ms;
        (is_observed && rate > 0.0).then(|| cost_tokens / rate)
    }
}
