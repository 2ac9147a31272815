//! How long an entry stays believable, learned from entries that were put to use.

/// The first assumption.
const INITIAL_MS: f64 = 10_000.0;

const MIN_MS: f64 = 1_000.0;
const MAX_MS: f64 = 60_000.0;

/// The change after a belief that failed.
const SHRINK_FACTOR: f64 = 0.9;

/// The change after an old belief that held.
const GROWTH_FACTOR: f64 = 1.03;

/// A time to live that follows what beliefs turn out to be worth.
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
    /// Returns the time that a new entry lives.
    pub fn ms(&self) -> u64 {
        self.current_ms as u64
    }

    /// Takes in whether a belief of this age held.
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
