//! The model as nodes exchange it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::PrefillCurve;
use crate::fleet::UpstreamTag;

/// A hash that identifies a service in digests.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Returns the tag of a service.
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()) as u32)
    }
}

/// A hash that identifies a route; its prompts are of one kind.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default, Serialize, Deserialize)]
pub struct RouteTag(pub u32);

impl RouteTag {
    /// Returns the tag of a route.
    pub fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()) as u32)
    }
}

/// What a node learned about the upstreams from its own requests.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct ModelDigest {
    /// The curve of each service, as base, milliseconds per thousand tokens and per million pairs,
    /// with the number of samples.
    pub curves: Vec<(ServiceTag, [f32; 3], f32)>,
    /// The factor of some engines, their average slowdown, and the number of samples.
    pub speeds: Vec<(UpstreamTag, f32, f32, f32)>,
    /// The times of work at different loads at some starts of upstreams, as the sums
    /// of [`StepStatistics`](super::StepStatistics).
    pub steps: Vec<(UpstreamTag, [f32; 6])>,
}

impl From<&PrefillCurve> for [f32; 3] {
    fn from(curve: &PrefillCurve) -> Self {
        curve.parameters().map(|parameter| parameter as f32)
    }
}

impl From<[f32; 3]> for PrefillCurve {
    fn from(parameters: [f32; 3]) -> Self {
        Self::from_parameters(parameters.map(f64::from))
    }
}
