//! What an upstream says of itself in the heads of its answers.

use std::time::Duration;

/// The highest rate limit; a higher one is as good as none.
const LIMIT_PER_S: f32 = 1_000_000.0;

/// The requests per second that an upstream takes from all nodes together; finite and not negative.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
pub struct RateLimit(f32);

impl RateLimit {
    /// Returns a limit; `None` if the rate is negative or not finite.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then(|| Self((per_s as f32).min(LIMIT_PER_S)))
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0)
    }
}

/// What an upstream says of itself in the head of one answer.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct UpstreamSignals {
    /// The rate limit, for as long as its answers name one.
    pub rate_limit: Option<RateLimit>,
    /// How long it wants no request from this node, if the answer is a refusal for want of capacity.
    pub retry_after: Option<Duration>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// A signal that could not be decoded, for logs. It says nothing.
    pub invalid: Option<String>,
}
