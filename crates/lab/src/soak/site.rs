//! What the operator of the soak's site writes.

use serde_json::Value;

use crate::on_platform::KEY;
use crate::on_platform::RouteEntry;
use crate::on_platform::configuration;

/// The timeout of all routes in milliseconds, which is also the callers' deadline.
const TIMEOUT_MS: u64 = 3_000;

/// Connections that an upstream accepts from all nodes: many more than there are callers.
const CONNECTIONS_LIMIT: u32 = 200;

/// A kind of request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// May run once only.
    Unsafe,
    /// A stream that may run once only.
    Stream,
    /// A stream that another engine may go on with.
    Resumable,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Stream, Self::Resumable];

    /// Returns the name of its route.
    pub fn route(self) -> &'static str {
        match self {
            Self::Safe => "look",
            Self::Unsafe => "order",
            Self::Stream => "draft",
            Self::Resumable => "check",
        }
    }

    /// Returns whether engines answer it.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns whether a request may run once only.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Stream)
    }

    fn entry(self) -> Value {
        let kind = match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream | Self::Resumable => "stream",
        };
        let route = RouteEntry {
            name: self.route(),
            kind,
            timeout_ms: TIMEOUT_MS,
            target_latency_ms: 500,
            attempts_limit: if self.runs_once() { 1 } else { 2 },
            is_resumable: self == Self::Resumable,
        };
        route.into()
    }
}

/// Returns the configuration of a version, which has a route of its own beside those of the kinds.
pub(super) fn configuration_of(version: u64) -> String {
    let mut own_route = Kind::Safe.entry();
    own_route["name"] = version_route(version).into();
    own_route["prefix"] = format!("/{}/", version_route(version)).into();
    let routes: Vec<Value> = Kind::ALL.map(Kind::entry).into_iter().chain([own_route]).collect();
    configuration(version, &routes, &[KEY], CONNECTIONS_LIMIT)
}

/// Returns the name of the route that only one version of the configuration has.
pub(super) fn version_route(version: u64) -> String {
    format!("version-{version}")
}
