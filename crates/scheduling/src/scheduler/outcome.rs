//! What became of one send of a request.

use crate::fleet::Verdict;
use redwingrill_routing::ReportedLoad;
use redwingrill_routing::WeightsVersion;

/// What became of one send of a request.
#[derive(Clone, Debug)]
pub struct LegOutcome {
    /// What it tells of the upstream.
    pub verdict: Verdict,
    /// Whether another upstream answered in its place, or one with other weights.
    pub is_misdirected: bool,
    /// The load that the upstream told.
    pub load: Option<ReportedLoad>,
    /// The weights that the upstream told.
    pub version: Option<WeightsVersion>,
}
