//! The state that engines report.

use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::WeightsTag;

/// The latest report of one engine. It lags behind the engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EngineReport {
    /// The incarnation of the engine that sent the report, and the weights it serves.
    pub start: EngineStart,
    /// The number of requests that the engine runs.
    pub running: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

impl EngineReport {
    /// Returns whether the engine serves `weights_version`.
    pub fn serves(&self, weights_version: &str) -> bool {
        self.start.weights == WeightsTag::of(weights_version)
    }

    /// Returns whether the engine serves any weights.
    pub fn serves_any(&self) -> bool {
        !self.serves("")
    }
}

/// The latest reports of all engines that are considered alive.
pub type EngineReports = EntityMap<UpstreamId, EngineReport>;
