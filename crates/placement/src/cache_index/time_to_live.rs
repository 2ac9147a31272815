//! How long an entry stays believable, learned from entries that were put to use.

/// The first assumption.
const INITIAL_MS: f64 = 10_000.0;

const MIN_MS: f64 = 1_000.0;
const MAX_MS: f64 = 60_000.0;

/// The change after a belief that failed.
const FAILED_FACTOR: f64 = 0.9;

/// The change after an old belief that held.
const HELD_FACTOR: f64 = 1.03;

/// A time to live that follows what beliefs turn out to be worth.
#[derive(Clone, Copy, Debug)]
pub struct TimeToLive {
    now_ms: f64,
}

impl Default for TimeToLive {
    fn default() -> Self {
        Self { now_ms: INITIAL_MS }
    }
}

impl TimeToLive {
    /// Returns the time that a new entry lives.
    pub fn ms(&self) -> u64 {
        self.now_ms as u64
    }

    /// Takes in whether a belief of this age held.
    pub fn observe(&mut self, age_ms: u64, held: bool) {
        let old = age_ms as f64 * 2.0 > self.now_ms;
        let factor = match (held, old) {
            (true, true) => HELD_FACTOR,
            (true, false) => 1.0,
            (false, _) => FAILED_FACTOR,
        };
        self.now_ms = (self.now_ms * factor).clamp(MIN_MS, MAX_MS);
    }
}
