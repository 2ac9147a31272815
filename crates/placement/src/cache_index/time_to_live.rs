//! The adaptive time to live of cache index entries, learned from the entries that were used.

/// The initial time to live.
const INITIAL_MS: f64 = 10_000.0;

const MIN_MS: f64 = 1_000.0;
const MAX_MS: f64 = 60_000.0;

/// The factor after an entry turned out to be invalid.
const SHRINK_FACTOR: f64 = 0.9;

/// The factor after an old entry turned out to be valid.
const GROWTH_FACTOR: f64 = 1.03;

/// A time to live that adapts to how long entries turn out to be valid.
#[derive(Clone, Copy, Debug)]
pub struct TimeToLive {
    current_ms: f64,
}

impl Default for TimeToLive {
    fn default() -> Self {
        Self { current_ms: INITIAL_MS }
    }
}

impl TimeToLive {
    /// Returns the time to live of a new entry, in milliseconds.
    pub fn ms(&self) -> u64 {
        self.current_ms as u64
    }

    /// Records whether the prefix of an entry of this age was still cached. Only entries older than
    /// half of the time to live extend it.
    pub fn observe(&mut self, age_ms: u64, was_cached: bool) {
        let is_old = age_ms as f64 * 2.0 > self.current_ms;
        let factor = match (was_cached, is_old) {
            (true, true) => GROWTH_FACTOR,
            (true, false) => 1.0,
            (false, _) => SHRINK_FACTOR,
        };
        self.current_ms = (self.current_ms * factor).clamp(MIN_MS, MAX_MS);
    }
}
