//! The pauses between the events of sound streams.
//!
//! A stream is stalled when its pause leaves what the route allows and what the engines of its
//! service need: a stream that is slow because its engine prefills long prompts must not be cut.

/// Pauses as a multiple of the allowed one, beyond which a stream is stalled.
const TARGET_FACTOR: f64 = 3.0;

/// Pauses as a multiple of the usual longest one, beyond which a stream is stalled.
const USUAL_FACTOR: f64 = 4.0;

/// How the estimate follows a longer and a shorter pause.
const RISE: f64 = 0.2;
const FALL: f64 = 0.02;

/// The range of the stall timeout, in milliseconds.
const MIN_STALL_MS: f64 = 300.0;
const MAX_STALL_MS: f64 = 10_000.0;

/// The usual longest pause of a stream before any stream ended.
const PRIOR_PAUSE_MS: f64 = 300.0;

/// An estimate of the longest pause of most streams.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PauseEstimate {
    longest_ms: f64,
}

impl Default for PauseEstimate {
    fn default() -> Self {
        Self { longest_ms: PRIOR_PAUSE_MS }
    }
}

impl PauseEstimate {
    /// Records the longest pause of a stream that ended well.
    pub fn observe(&mut self, longest_pause_ms: u64) {
        let pause_ms = (longest_pause_ms as f64).min(MAX_STALL_MS);
        let rate = if pause_ms > self.longest_ms { RISE } else { FALL };
        self.longest_ms += rate * (pause_ms - self.longest_ms);
    }

    /// Returns the pause after which a stream is stalled, in milliseconds; `target_ms` is the
    /// longest pause that the route allows, if it states one.
    pub fn stall_timeout_ms(&self, target_ms: Option<u64>) -> u64 {
        let allowed_ms = target_ms.map_or(0.0, |target_ms| target_ms as f64 * TARGET_FACTOR);
        let usual_ms = self.longest_ms * USUAL_FACTOR;
        allowed_ms.max(usual_ms).clamp(MIN_STALL_MS, MAX_STALL_MS) as u64
    }
}
