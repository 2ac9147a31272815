//! The outcome of one attempt.

use crate::fleet::Verdict;

/// The outcome of one attempt of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// What the outcome says about the upstream's health.
    pub verdict: Verdict,
    /// Whether the response came from another upstream, or from other weights.
    pub is_misdirected: bool,
}
