//! The state of the placer, for the dump.

use serde::Serialize;

use super::decision::Placer;
use super::policy::Policy;
use crate::fleet::EngineLoad;
use redwingrill_entity::UpstreamId;

/// A summary of the state of the placer.
#[derive(Clone, Debug, Serialize)]
pub struct PlacerState {
    /// The policy.
    pub policy: Policy,
    /// The engines with a known load.
    pub engines: Vec<EngineState>,
    /// The number of prefixes in the cache index.
    pub prefixes_known: usize,
    /// The number of prefixes whose popularity is tracked.
    pub prefixes_followed: usize,
    /// The time to live of a new cache index entry.
    pub time_to_live_ms: u64,
}

/// The state of one engine at the placer.
#[derive(Clone, Debug, Serialize)]
pub struct EngineState {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its incarnation, if known.
    pub incarnation: Option<u64>,
    /// Requests of this node in flight at the engine.
    pub in_flight: u32,
    /// The estimated number of requests of all nodes at the engine.
    pub requests: u32,
}

impl Placer {
    /// Returns the state for the dump.
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
