//! How fast a queue drains, for the wait that a new request must expect.

/// The time in which an observation loses half of its weight.
const HALF_LIFE_MS: f64 = 2_000.0;

/// A decayed rate of started cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    started_tokens: f64,
    observed_ms: f64,
    updated_ms: u64,
}

impl DrainRate {
    /// Counts cost that was started while others waited.
    pub fn record_started(&mut self, cost_tokens: u64, now_ms: u64) {
        self.advance(now_ms);
        self.started_tokens += cost_tokens as f64;
    }

    /// Counts time in which something waited.
    pub fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.started_tokens *= decay;
        self.observed_ms = self.observed_ms * decay + elapsed_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Forgets the time since the last change, in which nothing waited.
    pub fn skip_idle(&mut self, now_ms: u64) {
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns how long it takes to start this much; `None` while too little was observed.
    pub fn drain_time_ms(&self, cost_tokens: f64) -> Option<f64> {
        let is_observed = self.observed_ms >= HALF_LIFE_MS / 4.0;
        let rate = self.started_tokens / self.observed_ms;
        (is_observed && rate > 0.0).then(|| cost_tokens / rate)
    }
}
