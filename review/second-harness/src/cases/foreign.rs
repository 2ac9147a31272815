//! No case: entries of another writer, of a service that no configuration names, keep all engines
//! from work. Nothing is served, and all is refused, so no rule of those sought is broken.

use std::thread;
use std::time::Duration;

use super::KRITA;
use super::Stage;
use super::Verdict;
use super::configuration;
use super::generate;
use super::route;
use crate::engine::Engine;
use crate::engine::unix_ms;

const REQUESTS: usize = 20;

pub fn play(stage: &Stage) -> Verdict {
    let (store, record) = (&stage.store, &stage.record);
    let mut engines = Vec::new();
    for number in 1..=2 {
        let id = format!("i-llm-{number}");
        let engine = Engine::start(&id, "llm", true, Duration::ZERO, store, record);
        engines.push(engine.map_err(|e| e.to_string())?);
    }
    let routes = [route("draft", "stream", "llm", 1)];
    store.put("op/config", &configuration(7, &routes, &[("cafe", "key-cafe", false)]));
    store.put("op/version/m0", &serde_json::json!({"model": "m0", "version": 1}));
    let routers = stage.start_routers(&["front-a", "front-b"], KRITA)?;
    for engine in engines.iter().filter(|_| stage.has_trouble) {
        // The address of an engine, under another id and service, begun later.
        let (_, mut entry) = engine.beat("ready");
        entry["service"] = "elsewhere".into();
        entry["born"] = unix_ms().into();
        store.put(&format!("servers/x-{}", engine.id), &entry);
        record.line(format!("store: entry x-{} of another writer", engine.id));
    }
    thread::sleep(Duration::from_millis(1_000));
    let mut served = 0;
    for number in 0..REQUESTS {
        let front = routers[number % 2].front;
        let part = [("5c1e07a2", 160)];
        let seen = generate(stage, front, "draft", &format!("draft-{number}"), "key-cafe", &part);
        served += usize::from(seen.status == 200 && seen.is_whole);
        thread::sleep(Duration::from_millis(200));
    }
    Ok((served < REQUESTS / 4).then(|| format!("{served} of {REQUESTS} drafts were served")))
}
