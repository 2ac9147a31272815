//! A small site: the store, routers and engines.

use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::client::HOST;
use crate::client::KEY;
use crate::engine::Engine;
use crate::engine::MODEL;
use crate::engine::Sightings;
use crate::engine::Spec;
use crate::record::Record;
use crate::router::Place;
use crate::router::Router;
use crate::store::Store;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// A site that runs.
pub struct Site {
    pub record: Record,
    pub places: Vec<Place>,
    pub routers: Vec<Router>,
    pub engines: Vec<Engine>,
    pub store: Store,
    pub sightings: Sightings,
    // After the routers: dropping these ends their processes first.
    temporary: PathBuf,
}

/// What a route's requests are.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may run once.
    Stream,
    /// A stream that may go on at another engine.
    Resumable,
    /// The same, urgent and short.
    Urgent,
    /// A plain request that may run once.
    Unsafe,
}

/// A route to a service.
pub struct Route {
    pub name: &'static str,
    pub service: &'static str,
    pub kind: Kind,
    pub max_attempts: u32,
}

impl Site {
    /// Starts everything and waits until the routers are ready.
    pub fn start(folder: &Path, routes: &[Route], engines: &[Spec], routers: u8) -> Result<Self, String> {
        let text = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let record = Record::create(&folder.join("record.txt")).map_err(text("record"))?;
        let root = std::env::current_dir().map_err(text("folder"))?;
        if !root.join("target/release/redwingrilld").exists() {
            return Err("target/release/redwingrilld is not built".to_owned());
        }
        let process = std::process::id();
        let temporary = std::env::temp_dir().join(format!("review-case-{process}"));
        std::fs::create_dir_all(&temporary).map_err(text("temporary folder"))?;
        let store = Store::start().map_err(text("store"))?;
        store.put("op/config", &configuration(routes));
        store.put(&format!("op/version/{MODEL}"), &json!({"model": MODEL, "version": 1}));
        let sightings = Sightings::default();
        let engines = engines.iter().map(|spec| Engine::start(spec.clone(), &store, &record, &sightings));
        let engines: Vec<Engine> = engines.collect::<Result<_, _>>().map_err(text("engine"))?;
        // The port of a router's metrics is fixed, so each has an address of its own.
        let net = [127, 20 + (process % 200) as u8, (process / 200 % 250) as u8];
        let places = (1..=routers).map(|n| Place::find(&format!("front-z-a-{n}"), [net[0], net[1], net[2], n]));
        let places: Vec<Place> = places.collect::<Result<_, _>>().map_err(text("ports"))?;
        let routers = places
            .iter()
            .map(|place| Router::start(place, &places, store.address, &root, &temporary, &record));
        let routers: Vec<Router> = routers.collect::<Result<_, _>>().map_err(text("router"))?;
        let site = Self { record, places, routers, engines, store, sightings, temporary };
        for router in &site.routers {
            if !router.wait_ready(Duration::from_secs(10)) {
                return Err(format!("router {} is not ready", router.name));
            }
        }
        let names = site.places.len();
        for _ in 0..200 {
            if site.store.keys("redwingrill/members/").len() == names {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        // The routers exchange their loads every 100 ms.
        thread::sleep(Duration::from_millis(1_000));
        Ok(site)
    }

    /// Keeps the logs of the routers where a reader asks for them.
    fn keep_logs(&self) {
        let Some(folder) = std::env::var_os("REVIEW_LOGS") else { return };
        let folder = PathBuf::from(folder);
        let _ = std::fs::create_dir_all(&folder);
        for router in &self.routers {
            let _ = std::fs::copy(&router.log, folder.join(format!("{}.log", router.name)));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.kill();
        }
        self.keep_logs();
        let _ = std::fs::remove_dir_all(&self.temporary);
    }
}

fn configuration(routes: &[Route]) -> Value {
    let entries = routes.iter().map(|route| {
        let (timeout_ms, target_ms) = match route.kind {
            Kind::Unsafe => (800, 150),
            Kind::Urgent => (5_000, 500),
            Kind::Stream | Kind::Resumable => (12_000, 1_500),
        };
        json!({
            "name": route.name, "host": HOST, "prefix": format!("/{}/", route.name),
            "kind": if route.kind == Kind::Unsafe { "unsafe" } else { "stream" },
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": 2, "service": route.service,
            "max_attempts": route.max_attempts, "anonymous": false, "sticky": route.kind != Kind::Unsafe,
            "resumable": matches!(route.kind, Kind::Resumable | Kind::Urgent), "gap_target_ms": 400,
        })
    });
    let mut names: Vec<(&str, bool)> =
        routes.iter().map(|route| (route.service, route.kind == Kind::Unsafe)).collect();
    names.sort_unstable();
    names.dedup();
    let services = names.iter().map(|(name, is_plain)| {
        if *is_plain {
            return json!({
                "name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false,
            });
        }
        json!({
            "name": name, "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false,
            "engine": {"slots": 16, "kv_capacity_tokens": 172_330, "kv_token_bytes": 35_136,
                "link_mbps": 550_000.0, "moves": true, "backups": true, "stride": 3, "max_concurrent": 12,
                "pin_ms": 4_000.0, "hold_ms": 2_000.0, "handle_s": 5.0, "models": [{"name": MODEL}]},
        })
    });
    json!({
        "version": 1, "routes": entries.collect::<Vec<_>>(), "services": services.collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "cafe", "api_keys": [KEY], "priority": 1, "isolated": false}],
    })
}
