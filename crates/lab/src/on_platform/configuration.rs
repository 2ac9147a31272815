//! The operator's configuration.

use serde_json::Value;
use serde_json::json;

/// The key of the only account.
pub const KEY: &str = "key-of-cafe";
/// The host of all routes.
pub const HOST: &str = "site.example";

/// A route of the engines (`llm`) or of the plain upstreams (`shop`).
#[derive(Clone, Copy, Debug)]
pub struct RouteEntry {
    /// Its name, and its path between two slashes.
    pub name: &'static str,
    /// `safe`, `unsafe` or `stream`, which the engines answer.
    pub kind: &'static str,
    /// The longest wait in milliseconds.
    pub timeout_ms: u64,
    /// The time in milliseconds within which an answer is worth most.
    pub target_latency_ms: u64,
    /// The most upstreams that may run a request.
    pub attempts_limit: u32,
    /// Whether another engine may go on with a stream.
    pub is_resumable: bool,
}

impl From<RouteEntry> for Value {
    fn from(route: RouteEntry) -> Self {
        let is_stream = route.kind == "stream";
        json!({
            "name": route.name, "host": HOST, "prefix": format!("/{}/", route.name),
            "kind": route.kind, "timeout_ms": route.timeout_ms,
            "target_latency_ms": route.target_latency_ms, "priority": 1,
            "service": if is_stream { "llm" } else { "shop" },
            "max_attempts": route.attempts_limit, "anonymous": false, "sticky": is_stream,
            "resumable": route.is_resumable, "gap_target_ms": 400,
        })
    }
}

/// Returns the text of a configuration. The account `cafe`, which holds the keys, is isolated.
pub fn configuration(
    version: u64,
    routes: &[Value],
    keys: &[&str],
    connections_limit: u32,
) -> String {
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": connections_limit,
             "protocol": "h1", "tls": false, "engine": {"slots": 8, "kv_capacity_tokens": 100_000,
             "max_concurrent": 12, "models": [{"name": "m"}]}},
            {"name": "shop", "health_path": "/health", "max_connections": connections_limit,
             "protocol": "h1", "tls": false},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "cafe", "api_keys": keys, "isolated": true}],
    })
    .to_string()
}
