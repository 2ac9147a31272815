//! What the operator of the soak's site writes.

use serde_json::Value;
use serde_json::json;

/// The key of the only account, and the host of all routes.
pub(super) const KEY: &str = "key-of-cafe";
pub(super) const HOST: &str = "site.example";

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
        json!({
            "name": self.route(), "host": HOST, "prefix": format!("/{}/", self.route()),
            "kind": kind, "timeout_ms": 3_000, "target_latency_ms": 500, "priority": 1,
            "service": if self.is_stream() { "llm" } else { "shop" },
            "max_attempts": if self.runs_once() { 1 } else { 2 }, "anonymous": false,
            "sticky": self.is_stream(), "resumable": self == Self::Resumable, "gap_target_ms": 400,
        })
    }
}

/// Returns the configuration of a version.
pub(super) fn configuration(version: u64) -> String {
    let routes: Vec<Value> = Kind::ALL.iter().map(|kind| kind.entry()).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": 200, "protocol": "h1",
             "tls": false, "engine": {"slots": 8, "kv_capacity_tokens": 100_000,
             "max_concurrent": 12, "models": [{"name": "m"}]}},
            {"name": "shop", "health_path": "/health", "max_connections": 200, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "cafe", "api_keys": [KEY], "isolated": true}],
    })
    .to_string()
}
