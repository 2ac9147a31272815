//! Statements of upstreams about their limits, as nodes pass them on.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::UpstreamTag;
use redwingrill_routing::RateLimit;

/// A statement that a node received itself.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// Requests per second; `None` if the upstream does not name a limit any more.
    pub per_s: Option<f32>,
    /// The age of the statement in milliseconds when the digest was made.
    pub age_ms: u32,
}

impl LimitStatement {
    /// Returns the stated limit. The outer `None` means that the statement is malformed.
    pub fn limit(&self) -> Option<Option<RateLimit>> {
        match self.per_s {
            None => Some(None),
            Some(per_s) => RateLimit::new(f64::from(per_s)).map(Some),
        }
    }
}
