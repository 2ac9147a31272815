//! Arrivals in the last second.

use crate::recent::Recent;

/// The length of the window: one second, without its first millisecond.
const WINDOW_MS: u64 = 999;

/// The minimum span for a rate, so that the first arrival does not count as a thousand per second.
const MIN_SPAN_MS: u64 = 100;

/// Counts arrivals over the last second.
#[derive(Clone, Debug, Default)]
pub struct ArrivalCounter {
    recent: Recent<(), WINDOW_MS>,
    first_ms: Option<u64>,
}

impl ArrivalCounter {
    /// Counts an arrival.
    pub fn count(&mut self, now_ms: u64) {
        self.recent.push((), now_ms);
        self.first_ms.get_or_insert(now_ms);
    }

    /// Returns the arrivals per second over the last second, or since the first arrival if that is
    /// more recent.
    pub fn per_s(&mut self, now_ms: u64) -> u32 {
        let age_ms = self.first_ms.map_or(0, |first_ms| now_ms.saturating_sub(first_ms));
        let span_ms = age_ms.clamp(MIN_SPAN_MS, WINDOW_MS + 1);
        let per_s = self.recent.count(now_ms) as u64 * (WINDOW_MS + 1) / span_ms;
        u32::try_from(per_s).unwrap_or(u32::MAX)
    }
}
