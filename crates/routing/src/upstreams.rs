//! Live upstreams as listed by the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A version of a model's weights.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct WeightsVersion(pub u64);

/// A version of an upstream's software, which is distinct from those of the weights. Versions have no
/// order: equal ones write streams that fit together, and nothing is known of others.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct SoftwareVersion(pub String);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamState {
    /// It accepts new requests.
    Ready,
    /// It finishes running requests and accepts no new ones.
    Leaving,
}

/// One live upstream.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Upstream {
    /// The identity of the upstream, unique to one start of it.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// The remaining time during which it is slow after its start.
    pub warm_up_remaining: Duration,
    /// The version of its software, if it states one.
    pub software: Option<SoftwareVersion>,
    /// The versions of the weights that it holds, by model.
    pub models: Vec<(String, WeightsVersion)>,
    /// Unix time of its start in milliseconds; distinguishes restarts under the same identity.
    pub started_unix_ms: Option<u64>,
}

impl Upstream {
    /// Returns the version of a model's weights that the upstream holds.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        self.models.iter().find(|(name, _)| name == model).map(|&(_, version)| version)
    }
}
