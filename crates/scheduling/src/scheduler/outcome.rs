//! The outcome of one attempt.

use crate::fleet::Misdirection;
use crate::fleet::Verdict;

/// The outcome of one attempt of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// What the outcome says about the upstream's health.
    pub verdict: Verdict,
    /// Whether the request was rejected because it was for another upstream or other weights.
    pub misdirection: Option<Misdirection>,
}

/// What the end of an attempt changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AttemptEffect {
    /// Whether the upstream is now ejected.
    pub is_ejected: bool,
    /// Whether the upstream is now known to have ended.
    pub has_ended: bool,
}
