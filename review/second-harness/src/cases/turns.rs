//! ONE: a router that was frozen while another one led a roll-out leads the next one at once.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::CARTHAGE;
use super::Stage;
use super::Verdict;
use super::configuration;
use super::route;
use crate::engine::Engine;
use crate::engine::Order;

/// New weights take an engine 0.29 s by the sheet.
const LOAD: Duration = Duration::from_millis(290);

const LEASE: Duration = Duration::from_millis(3_000);
const THAW_SLACK: Duration = Duration::from_millis(300);

/// The site file's `node_freeze` stands still for 3.5 s.
const FREEZE: Duration = Duration::from_millis(3_500);

pub fn play(stage: &Stage) -> Verdict {
    let (store, record) = (&stage.store, &stage.record);
    let mut engines = Vec::new();
    for number in 1..=2 {
        let id = format!("i-llm-{number}");
        let engine = Engine::start(&id, "llm", true, LOAD, store, record);
        engines.push(engine.map_err(|e| e.to_string())?);
    }
    let routes = [route("draft", "stream", "llm", 1)];
    store.put("op/config", &configuration(7, &routes, &[("cafe", "key-cafe", false)]));
    let name_version = |version: u64| {
        store.put("op/version/m0", &json!({"model": "m0", "version": version}));
        record.line(format!("operator: version {version} is named"));
    };
    name_version(1);
    // The first by name has the first turn.
    let routers = stage.start_routers(&["front-a", "front-b"], CARTHAGE)?;
    // Much longer than a lease, as between any two roll-outs.
    thread::sleep(Duration::from_secs(8));

    let mut thawed = None;
    let frozen_at = Instant::now();
    if stage.has_trouble {
        routers[0].signal("STOP")?;
        record.line("router front-a: is frozen");
    }
    thread::sleep(Duration::from_millis(1_200));
    name_version(2);
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if stage.has_trouble {
        routers[0].signal("CONT")?;
        thawed = Some(record.now());
        record.line("router front-a: goes on");
    }
    if engines.iter().any(|engine| engine.version() != 2) {
        return Err("version 2 was not loaded in time".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    name_version(3);
    let end = Instant::now() + Duration::from_secs(15);
    while engines.iter().any(|engine| engine.version() != 3) {
        if Instant::now() > end {
            return Err("version 3 was not loaded".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }

    for engine in &engines {
        let orders: Vec<Order> =
            engine.orders().into_iter().filter(|o| is_judged(o, thawed)).collect();
        for pair in orders.windows(2) {
            let gap = pair[1].at - pair[0].at;
            if pair[0].holder != pair[1].holder && gap < LEASE {
                return Ok(Some(format!(
                    "engine {} got an order of holder {} (fence {}) {:.2} s after one of holder {} \
                     (fence {}); lease_ms is 3000",
                    engine.id,
                    pair[1].holder,
                    pair[1].fence,
                    gap.as_secs_f64(),
                    pair[0].holder,
                    pair[0].fence,
                )));
            }
        }
    }
    Ok(None)
}

/// Orders that arrive within `thaw_slack_ms` after their sender was thawed don't count.
fn is_judged(order: &Order, thawed: Option<Duration>) -> bool {
    let is_slack = thawed.is_some_and(|at| order.at >= at && order.at < at + THAW_SLACK);
    !(is_slack && order.holder == "front-a")
}
