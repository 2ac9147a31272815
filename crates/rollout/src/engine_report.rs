//! What engines report of themselves.

use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::WeightsTag;

/// The last report of one engine, which lags.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EngineReport {
    /// The start of the engine that reported and the weights it serves.
    pub start: EngineStart,
    /// Requests it runs.
    pub running: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl EngineReport {
    /// Returns whether the engine serves these weights.
    pub fn serves(&self, weights_version: &str) -> bool {
        self.start.weights == WeightsTag::of(weights_version)
    }

    /// Returns whether the engine serves any weights.
    pub fn serves_any(&self) -> bool {
        !self.serves("")
    }
}

/// The reports of all engines that are believed to live.
pub type EngineReports = EntityMap<UpstreamId, EngineReport>;
