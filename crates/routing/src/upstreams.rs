//! Live upstreams as they are listed.

use std::net::SocketAddr;
use std::time::Duration;

/// A version of a model's weights.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct WeightsVersion(pub u64);

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamState {
    /// It takes new requests.
    Ready,
    /// It ends what it has and takes nothing new.
    Leaving,
}

/// One live upstream.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Upstream {
    /// The identity of this start of the upstream.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// How much longer it is slow after its start.
    pub warm_up_remaining: Duration,
    /// The weights that it holds, by model.
    pub models: Vec<(String, WeightsVersion)>,
    /// Unix time of its start in milliseconds; changes when the same identity starts again.
    pub started_unix_ms: Option<u64>,
}

impl Upstream {
    /// Returns the version of a model's weights that the upstream holds.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        self.models.iter().find(|(name, _)| name == model).map(|&(_, version)| version)
    }
}
