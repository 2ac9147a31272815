//! Load reports of engines, from polls and from other nodes.

use tokio::time::Instant;

use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_rollout::EngineReport;

/// A load report of one engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EngineLoadReport {
    /// The engine.
    pub upstream: UpstreamId,
    /// The reported load.
    pub load: LoadReport,
    /// Whether the engine reported that it is leaving.
    pub leaving: bool,
    /// When the load was requested.
    pub observed: Instant,
}

impl From<&EngineLoadReport> for EngineReport {
    fn from(report: &EngineLoadReport) -> Self {
        Self { start: report.load.start, running: report.load.running, leaving: report.leaving }
    }
}
