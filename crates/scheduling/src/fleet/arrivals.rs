//! Arrivals in the last second.

use std::collections::VecDeque;

/// The span that is counted.
const SPAN_MS: u64 = 1_000;

/// Counts arrivals over the last second.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    times_ms: VecDeque<u64>,
}

impl Arrivals {
    /// Counts an arrival.
    pub fn count(&mut self, now_ms: u64) {
        self.times_ms.push_back(now_ms);
        self.expire(now_ms);
    }

    /// Returns the arrivals of the last second.
    pub fn per_s(&mut self, now_ms: u64) -> u32 {
        self.expire(now_ms);
        u32::try_from(self.times_ms.len()).unwrap_or(u32::MAX)
    }

    fn expire(&mut self, now_ms: u64) {
        while self.times_ms.front().is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) >= SPAN_MS) {
            self.times_ms.pop_front();
        }
    }
}
