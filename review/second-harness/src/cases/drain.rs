//! DRAIN: the store cuts a waiting watch; the engine that leaves next gets requests for too long.

use std::thread;
use std::time::Duration;

use super::HOST;
use super::KRITA;
use super::Stage;
use super::Verdict;
use super::configuration;
use super::route;
use crate::client::call;
use crate::client::request;
use crate::engine::Engine;

/// The clients, each of which sends a request every 50 ms.
const CLIENTS: u64 = 4;

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
                for number in 0..240 {
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
    // Longer than `contact_ms`, so that the core is stable and the routers are in touch.
    thread::sleep(Duration::from_millis(5_000));
    if stage.has_trouble {
        store.cut_watches();
        record.line("store: cuts the watches that wait");
    }
    thread::sleep(Duration::from_millis(100));
    let leaving = &engines[2];
    leaving.unlist();
    let acknowledged = record.now();
    record.line(format!("store: the entry of {} is removed", leaving.id));
    // It serves for `drain_ms` and a little longer.
    thread::sleep(Duration::from_millis(KRITA.drain_ms + 1_500));
    leaving.end();
    record.line(format!("engine {}: ends", leaving.id));
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }

    let limit = acknowledged + Duration::from_millis(KRITA.drain_ms);
    let late: Vec<_> = leaving.arrivals().into_iter().filter(|(at, _)| *at > limit).collect();
    Ok(late.last().map(|(at, id)| {
        format!(
            "{} requests reached engine {} later than drain_ms after its entry was removed; the \
             last, {id}, {:.0} ms after",
            late.len(),
            leaving.id,
            (*at - acknowledged).as_secs_f64() * 1_000.0,
        )
    }))
}
