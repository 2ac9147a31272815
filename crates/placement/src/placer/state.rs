//! The placer's state for a dump.

use serde::Serialize;

use super::decision::Placer;
use super::policy::Policy;
use crate::fleet::EngineLoad;
use redwingrill_entity::UpstreamId;

/// What the placer knows, in short.
#[derive(Clone, Debug, Serialize)]
pub struct PlacerState {
    /// The policy.
    pub policy: Policy,
    /// The engines with a known load.
    pub engines: Vec<EngineState>,
    /// Prefixes believed to be cached somewhere.
    pub prefixes_known: usize,
    /// Prefixes whose share of the work is followed.
    pub prefixes_followed: usize,
    /// The time to live of a new belief.
    pub time_to_live_ms: u64,
}

/// What the placer knows of one engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineState {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its start, if known.
    pub incarnation: Option<u64>,
    /// Requests of this node at the engine.
    pub in_flight: u32,
    /// All requests at the engine, as far as known.
    pub requests: u32,
}

impl Placer {
    /// Returns the state for a dump.
    pub fn state(&self) -> PlacerState {
        let engines = self.loads.iter();
        PlacerState {
            policy: self.policy(),
            engines: engines.map(|(upstream, load)| engine_state(upstream, load)).collect(),
            prefixes_known: self.prefixes_known(),
            prefixes_followed: self.prefixes_followed(),
            time_to_live_ms: self.time_to_live_ms(),
        }
    }
}

fn engine_state(upstream: UpstreamId, load: &EngineLoad) -> EngineState {
    EngineState {
        upstream,
        incarnation: load.start().map(|start| start.incarnation.0),
        in_flight: load.in_flight(),
        requests: load.requests(),
    }
}
