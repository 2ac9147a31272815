//! The cases, and what they share.

pub mod beats;
pub mod crash;
pub mod early;
pub mod foreign;
pub mod turns;
pub mod wall;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::client::Seen;
use crate::client::call;
use crate::client::get;
use crate::engine::MODEL;
use crate::record::Record;
use crate::router::Bounds;
use crate::router::Folder;
use crate::router::Router;
use crate::store::Store;

/// The host of all routes.
pub const HOST: &str = "site.example";

/// `Some` names what broke the rule; `None`: it held. The error tells why the case could not run.
pub type Verdict = Result<Option<String>, String>;

/// Bounds of the sheet of `sites/krita-prod.toml`.
pub const KRITA: Bounds = Bounds {
    drain_ms: 2_000,
    config_apply_ms: 2_000,
    version_ms: 20_000,
    version_all_ms: 28_000,
    require_fence: true,
};

/// Bounds of the sheet of `demands/carthage-saves-grown.toml`.
pub const CARTHAGE: Bounds = Bounds {
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    version_ms: 8_000,
    version_all_ms: 11_000,
    require_fence: false,
};

/// What each case needs.
pub struct Stage {
    pub record: Record,
    pub store: Store,
    pub folder: Folder,
    pub has_trouble: bool,
}

impl Stage {
    pub fn new(folder: &Path, has_trouble: bool) -> Result<Self, String> {
        let record = Record::new(folder).map_err(|e| e.to_string())?;
        let store = Store::start(record.clone()).map_err(|e| e.to_string())?;
        Ok(Self { record, store, folder: Folder::new()?, has_trouble })
    }

    /// Starts routers and waits until they are ready and know each other.
    pub fn start_routers(&self, names: &[&str], bounds: Bounds) -> Result<Vec<Router>, String> {
        let mut routers = Vec::new();
        for (number, name) in names.iter().enumerate() {
            let folder = &self.folder.path;
            let number = number as u8 + 1;
            routers.push(Router::start(folder, number, name, self.store.address, bounds)?);
        }
        for router in &mut routers {
            router.wait_ready()?;
            self.record.line(format!("router {}: ready at {}", router.name, router.front));
        }
        let end = Instant::now() + Duration::from_secs(10);
        while self.store.keys("redwingrill/members/").len() < names.len() {
            if Instant::now() > end {
                return Err("the routers do not register".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(routers)
    }
}

/// Returns a route.
pub fn route(name: &str, kind: &str, service: &str, attempts: u32) -> Value {
    let is_stream = kind == "stream";
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": if is_stream { 10_000 } else { 1_500 },
        "target_latency_ms": if is_stream { 500 } else { 150 },
        "priority": 1, "service": service, "max_attempts": attempts, "anonymous": false,
        "sticky": is_stream, "resumable": false, "gap_target_ms": 400,
    })
}

/// Returns a configuration. A tenant is its name, its key, and whether it is isolated.
pub fn configuration(version: u64, routes: &[Value], tenants: &[(&str, &str, bool)]) -> Value {
    let tenants: Vec<Value> = tenants
        .iter()
        .map(|(name, key, isolated)| json!({"name": name, "api_keys": [key], "isolated": isolated}))
        .collect();
    json!({
        "version": version, "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": 590, "protocol": "h1",
             "tls": false, "engine": {"slots": 12, "kv_capacity_tokens": 160_000,
             "kv_token_bytes": 35_136, "link_mbps": 550_000.0, "max_concurrent": 12,
             "models": [{"name": MODEL}]}},
            {"name": "shop", "health_path": "/health", "max_connections": 100, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": tenants,
    })
}

/// Sends a generation and waits for the whole stream. `parts` are shared parts, with their tokens.
pub fn generate(
    stage: &Stage,
    front: SocketAddr,
    route: &str,
    id: &str,
    key: &str,
    parts: &[(&str, u32)],
) -> Seen {
    let shared: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
    let own = format!(
        "{:x}:40",
        0xabc0_0000_u64 + id.bytes().fold(7, |h, b| h * 31 % 99_991 + u64::from(b))
    );
    let mut list: Vec<String> = parts.iter().map(|(part, n)| format!("{part}:{n}")).collect();
    list.push(own);
    let body = br#"{"text":"a prompt"}"#;
    let request = crate::client::request(
        "POST",
        HOST,
        &format!("/{route}/2f"),
        &[
            ("X-Request-Id", id),
            ("X-Model", MODEL),
            ("X-Token-Count", &format!("{},20", shared + 40)),
            ("X-Prompt-Prefix", &list.join(",")),
            ("X-Deadline-Ms", "10000"),
            ("Authorization", &format!("Token {key}")),
        ],
        body,
    );
    let seen = call(front, &request, Duration::from_secs(10));
    stage.record.line(format!(
        "client: {id} with key {key} on {route}: {} whole={} {}",
        seen.status, seen.is_whole, seen.error
    ));
    seen
}

/// Waits until a router serves a route that only a new configuration has.
pub fn wait_in_force(front: SocketAddr, path: &str, key: &str) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        let authorization = format!("Token {key}");
        let headers = [
            ("X-Request-Id", "probe"),
            ("X-Deadline-Ms", "1000"),
            ("Authorization", authorization.as_str()),
        ];
        let seen = call(front, &get(HOST, path, &headers), Duration::from_secs(2));
        if seen.status == 200 {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("{front} does not serve {path}"))
}
