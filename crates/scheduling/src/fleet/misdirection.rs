//! What a rejection for another upstream or other weights says.

use redwingrill_routing::WeightsVersion;

/// What a request that was rejected as misdirected says about its upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Misdirection {
    /// Another upstream answered: this start has ended.
    Ended,
    /// The upstream holds other weights than expected.
    OtherWeights,
    /// One of these; the answer does not tell which.
    Unknown,
}

/// An upstream's identity and weights, as a request expects them or as an answer states them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StatedUpstream<'a> {
    /// The identity.
    pub id: Option<&'a str>,
    /// The version of the weights.
    pub version: Option<WeightsVersion>,
}

impl Misdirection {
    /// Compares what a rejected request expected with what the answer states.
    pub fn of(expected: StatedUpstream<'_>, answered: StatedUpstream<'_>) -> Self {
        if answered.id.is_some() {
            return match answered.id == expected.id {
                true => Self::OtherWeights,
                false => Self::Ended,
            };
        }
        match (expected.version, answered.version) {
            // The request expected nothing of the weights, so only its upstream can be wrong.
            (None, _) => Self::Ended,
            (Some(expected), Some(answered)) if expected == answered => Self::Ended,
            _ => Self::Unknown,
        }
    }
}
