//! WALL: a tenant becomes isolated by a new configuration, and others go on with its cached parts.

use std::thread;
use std::time::Duration;

use super::KRITA;
use super::Stage;
use super::Verdict;
use super::configuration;
use super::generate;
use super::route;
use super::wait_in_force;
use crate::engine::Engine;

/// A part that prompts of both tenants have, and its tokens.
const PART: (&str, u32) = ("5c1e07a2", 800);

pub fn play(stage: &Stage) -> Verdict {
    let (store, record) = (&stage.store, &stage.record);
    let start = |id: &str, service: &str, is_model: bool| {
        Engine::start(id, service, is_model, Duration::from_millis(300), store, record)
            .map_err(|e| e.to_string())
    };
    let engines = [start("i-llm-1", "llm", true)?, start("i-llm-2", "llm", true)?];
    let _shop = start("i-shop-1", "shop", false)?;
    let routes = vec![route("draft", "stream", "llm", 1), route("look", "safe", "shop", 2)];
    let tenants = [("cafe", "key-cafe", false), ("stall", "key-stall", false)];
    store.put("op/config", &configuration(7, &routes, &tenants));
    store.put("op/version/m0", &serde_json::json!({"model": "m0", "version": 1}));
    let routers = stage.start_routers(&["front-a", "front-b"], KRITA)?;
    for number in 1..=6 {
        let front = routers[number % 2].front;
        let seen = generate(stage, front, "draft", &format!("cafe-{number}"), "key-cafe", &[PART]);
        if seen.status != 200 || !seen.is_whole {
            return Err(format!("a draft before the change: {} {}", seen.status, seen.error));
        }
    }

    let mut newer = routes.clone();
    newer.push(route("fresh", "safe", "shop", 2));
    let is_isolated = stage.has_trouble;
    let tenants = [("cafe", "key-cafe", is_isolated), ("stall", "key-stall", false)];
    store.put("op/config", &configuration(11, &newer, &tenants));
    let acknowledged = record.now();
    record.line(format!("operator: configuration 11 is acknowledged, cafe isolated={is_isolated}"));
    for router in &routers {
        wait_in_force(router.front, "/fresh/1", "key-stall")?;
        record.line(format!("router {}: has configuration 11 in force", router.name));
    }
    // Longer than `config_apply_ms` after the acknowledgement.
    thread::sleep(Duration::from_millis(KRITA.config_apply_ms + 1_000));
    for number in 1..=6 {
        let front = routers[number % 2].front;
        let id = format!("stall-{number}");
        let seen = generate(stage, front, "draft", &id, "key-stall", &[PART]);
        if seen.status != 200 || !seen.is_whole {
            return Err(format!("a draft after the change: {} {}", seen.status, seen.error));
        }
    }

    let applied = acknowledged + Duration::from_millis(KRITA.config_apply_ms);
    let reuses = engines.iter().flat_map(Engine::reuses);
    let foreign: Vec<_> =
        reuses.filter(|r| r.at > applied && r.tenant != r.maker && is_isolated).collect();
    Ok(foreign.first().map(|reuse| {
        format!(
            "{} runs used cache that a request of the isolated tenant made, {:.1} s and more after \
             the acknowledgement; the first: {} of tenant {} used part {} of tenant {}",
            foreign.len(),
            (reuse.at - acknowledged).as_secs_f64(),
            reuse.request,
            reuse.tenant,
            reuse.part,
            reuse.maker,
        )
    }))
}
