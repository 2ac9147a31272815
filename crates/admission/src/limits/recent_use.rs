//! The tokens used within a sliding period.

/// Counts the tokens of a sliding period approximately, in constant space.
#[derive(Clone, Copy, Debug)]
pub struct RecentUse {
    period_ms: u64,
    slot: u64,
    current_tokens: u64,
    previous_tokens: u64,
}

impl RecentUse {
    /// Creates a counter of a period.
    pub fn new(period_ms: u64) -> Self {
        Self { period_ms: period_ms.max(1), slot: 0, current_tokens: 0, previous_tokens: 0 }
    }

    /// Counts tokens.
    pub fn add(&mut self, tokens: u64, now_ms: u64) {
        self.advance(now_ms);
        self.current_tokens += tokens;
    }

    /// Returns the tokens counted within the last period.
    pub fn total(&mut self, now_ms: u64) -> u64 {
        self.advance(now_ms);
        let remaining_ms = self.period_ms - now_ms % self.period_ms;
        let previous = self.previous_tokens as f64 * remaining_ms as f64 / self.period_ms as f64;
        self.current_tokens + previous as u64
    }

    fn advance(&mut self, now_ms: u64) {
        let slot = now_ms / self.period_ms;
        if slot <= self.slot {
            return;
        }
        let is_next = slot == self.slot + 1;
        self.previous_tokens = if is_next { self.current_tokens } else { 0 };
        self.current_tokens = 0;
        self.slot = slot;
    }
}
