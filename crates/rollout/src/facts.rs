//! What engines report of themselves.

use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;

/// The last report of one engine, which lags.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineFact {
    /// The start of the engine that reported.
    pub incarnation: String,
    /// The weights it serves; empty while it has none.
    pub weights_version: String,
    /// Requests it runs.
    pub running: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The reports of all engines that are believed to live.
pub type EngineFacts = EntityMap<UpstreamId, EngineFact>;
