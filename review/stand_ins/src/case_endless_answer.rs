//! Some engines of a plain service spoil a few of their answers: the bytes go on without end. Does each
//! caller get an answer by its route's timeout?

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::engine::Spec;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 5;
const SPOILING: usize = 3;
const ONE_IN: usize = 20;

/// The route's timeout, how long after it there must be an answer, and the bounds of the rule.
const TIMEOUT_MS: u64 = 800;
const AFTER_MS: u64 = 500;
const REQUESTS: usize = 8;

const CLIENTS: usize = 24;

/// The longest trouble of the kind on the site.
const LENGTH: Duration = Duration::from_millis(5_500);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "order", service: "shop", kind: Kind::Unsafe, max_attempts: 1 }];
    let engines = (1..=ENGINES).map(|n| Spec {
        id: format!("i-{n}"),
        service: "shop".to_owned(),
        slots: 6,
        is_plain: true,
        endless_one_in: (has_trouble && n <= SPOILING).then_some(ONE_IN),
        unframed_one_in: None,
    });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), 3)?;
    let record = site.record.clone();
    let all = Arc::new(Mutex::new(Vec::new()));
    let clients = (0..CLIENTS).map(|client| {
        let (all, record, address) =
            (all.clone(), record.clone(), site.routers[client % site.routers.len()].front);
        thread::spawn(move || {
            let ends = Instant::now() + LENGTH;
            for n in 0.. {
                let began = Instant::now();
                if began >= ends {
                    return;
                }
                let id = format!("order-{client}-{n}");
                let status = client::plain(address, "order", &id, &record);
                all.lock().expect("no holder panics").push((id, status, began.elapsed().as_millis() as u64));
                thread::sleep(Duration::from_millis(25));
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().map_err(|_| "a client ended".to_owned())?;
    }
    let all = std::mem::take(&mut *all.lock().expect("no holder panics"));
    let served = all.iter().filter(|(_, status, _)| *status == Some(200)).count();
    let beyond = all.iter().filter(|(_, _, took_ms)| *took_ms >= TIMEOUT_MS).count();
    let late: Vec<_> = all.iter().filter(|(_, _, took_ms)| *took_ms > TIMEOUT_MS + AFTER_MS).collect();
    for (id, status, took_ms) in &late {
        record.line(format!("CONFIG: request {id} has no answer after {took_ms} ms, then {status:?}"));
    }
    let summary = format!(
        "{} requests, {served} served; {beyond} unanswered at the route's timeout, {} of them {AFTER_MS} ms later",
        all.len(),
        late.len(),
    );
    record.line(&summary);
    let is_broken = late.len() >= REQUESTS && late.len() * 2 > beyond;
    Ok(if is_broken { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
