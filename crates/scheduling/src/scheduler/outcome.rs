//! What became of one send of a request.

use crate::fleet::Verdict;
/// What became of one send of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// What it tells of the upstream.
    pub verdict: Verdict,
    /// Whether another upstream answered in its place, or one with other weights.
    pub is_misdirected: bool,
}
