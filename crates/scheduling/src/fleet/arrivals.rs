//! Arrivals in the last second.

use crate::recent::Recent;

/// The length of the window: one second, without its first millisecond.
const WINDOW_MS: u64 = 999;

/// Counts arrivals over the last second.
#[derive(Clone, Debug, Default)]
pub struct ArrivalCounter {
    recent: Recent<(), WINDOW_MS>,
}

impl ArrivalCounter {
    /// Counts an arrival.
    pub fn count(&mut self, now_ms: u64) {
        self.recent.push((), now_ms);
    }

    /// Returns the arrivals of the last second.
    pub fn per_s(&mut self, now_ms: u64) -> u32 {
        u32::try_from(self.recent.count(now_ms)).unwrap_or(u32::MAX)
    }
}
