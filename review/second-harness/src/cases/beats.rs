//! DRAIN: a beat of an engine is done late by the store, after the engine reported `draining`.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::HOST;
use super::KRITA;
use super::Stage;
use super::Verdict;
use super::configuration;
use super::route;
use crate::client::call;
use crate::client::request;
use crate::engine::Engine;

/// The clients, each of which sends a request about every 50 ms.
const CLIENTS: u64 = 4;

/// `heartbeat_ms` of the settings.
const BEAT: Duration = Duration::from_millis(1_200);

/// How long after its arrival the store does the beat that got no answer: 1 to 6 s by the pages.
const LATE: Duration = Duration::from_millis(5_900);

/// How long after that beat the engine reports `draining`: longer than `contact_ms`, so that the store
/// is stable and the routers are in touch.
const STABLE: Duration = Duration::from_millis(3_500);

pub fn play(stage: &Stage) -> Verdict {
    let (store, record) = (&stage.store, &stage.record);
    let mut engines = Vec::new();
    for number in 1..=3 {
        let id = format!("i-shop-{number}");
        let engine = Engine::start(&id, "shop", false, Duration::ZERO, store, record);
        engines.push(engine.map_err(|e| e.to_string())?);
    }
    let routes = [route("order", "unsafe", "shop", 1)];
    store.put("op/config", &configuration(7, &routes, &[("cafe", "key-cafe", false)]));
    let routers = stage.start_routers(&["front-a", "front-b"], KRITA)?;
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = fronts[client as usize % fronts.len()];
            let record = record.clone();
            thread::spawn(move || {
                for number in 0..320 {
                    let id = format!("order-{client}-{number}");
                    let headers = [
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "1500"),
                        ("Authorization", "Token key-cafe"),
                    ];
                    let order = request("POST", HOST, "/order/1", &headers, b"pens");
                    let seen = call(front, &order, Duration::from_secs(2));
                    record.line(format!("client: {id}: {} {}", seen.status, seen.error));
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(3_000));

    let leaving = &engines[2];
    let begin = Instant::now();
    // The beat that the store does late, or, without trouble, in time.
    let late = leaving.beat("ready");
    if stage.has_trouble {
        record.line(format!("store: gives no answer to beat {} of {}", late.0, leaving.id));
        let (leaving, record) = (leaving.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(LATE);
            record.line(format!("store: does beat {} of {}, ready", late.0, leaving.id));
            leaving.write(&late);
        });
    } else {
        leaving.write(&late);
    }
    for at in [BEAT, BEAT * 2] {
        thread::sleep(at.saturating_sub(begin.elapsed()));
        leaving.write(&leaving.beat("ready"));
    }
    thread::sleep(STABLE.saturating_sub(begin.elapsed()));
    let mut beat = leaving.beat("draining");
    leaving.write(&beat);
    let acknowledged = record.now();
    record.line(format!("store: {} reports draining with beat {}", leaving.id, beat.0));
    // It serves on for `drain_ms` and some seconds, and writes its beats.
    for number in 1..=4 {
        thread::sleep((STABLE + BEAT * number).saturating_sub(begin.elapsed()));
        beat = leaving.beat("draining");
        leaving.write(&beat);
        record.line(format!("store: does beat {} of {}, draining", beat.0, leaving.id));
    }
    leaving.unlist();
    leaving.end();
    record.line(format!("engine {}: ends", leaving.id));
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }

    let limit = acknowledged + Duration::from_millis(KRITA.drain_ms);
    let late: Vec<_> = leaving.arrivals().into_iter().filter(|(at, _)| *at > limit).collect();
    Ok(late.last().map(|(at, id)| {
        format!(
            "{} requests reached engine {} later than drain_ms after its draining was acknowledged; \
             the last, {id}, {:.0} ms after",
            late.len(),
            leaving.id,
            (*at - acknowledged).as_secs_f64() * 1_000.0,
        )
    }))
}
