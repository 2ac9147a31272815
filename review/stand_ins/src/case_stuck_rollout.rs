//! New weights are named. For a while, the bytes of one engine's reports go on without end. Do all engines
//! get the weights once that is over?

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::client;
use crate::client::Ask;
use crate::engine::MODEL;
use crate::engine::Spec;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 6;
const ROUTERS: u8 = 3;

/// How long the trouble of the engine lasts: three times the longest one of the site.
const TROUBLE: Duration = Duration::from_millis(3 * 5_500);

/// After 1.5 times `version_ms`, at most one engine, or a tenth of them, may have older weights.
const LIMIT: Duration = Duration::from_millis(30_000 + 16_500 + 3_000);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "check", service: "llm", kind: Kind::Urgent, max_attempts: 2 }];
    let engines = (1..=ENGINES).map(|n| Spec {
        id: format!("i-{n}"),
        service: "llm".to_owned(),
        slots: 16,
        is_plain: false,
        endless_one_in: None,
        unframed_one_in: None,
    });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), ROUTERS)?;
    let record = site.record.clone();
    if has_trouble {
        site.engines[0].spoil_reports(true);
    }
    site.store.put(&format!("op/version/{MODEL}"), &json!({"model": MODEL, "version": 2}));
    record.line("version 2 is named");
    let named = Instant::now();
    let mut is_spoilt = has_trouble;
    let mut sent = Vec::new();
    for n in 0.. {
        if named.elapsed() >= LIMIT {
            break;
        }
        if is_spoilt && named.elapsed() >= TROUBLE {
            site.engines[0].spoil_reports(false);
            is_spoilt = false;
        }
        let ask = Ask {
            id: format!("check-{n}"),
            route: "check".to_owned(),
            events: 5,
            gap_ms: 40,
            deadline_ms: 5_000,
            part: 0x5c1e_07a2,
            leaves: None,
        };
        sent.push(client::send(site.routers[n % site.routers.len()].front, ask, &record));
        thread::sleep(Duration::from_millis(40));
    }
    let outcomes = sent.into_iter().map(|sent| sent.join().map_err(|_| "a client ended".to_owned()));
    let outcomes = outcomes.collect::<Result<Vec<_>, _>>()?;
    let served = outcomes.iter().filter(|outcome| outcome.is_complete).count();
    let last = outcomes.iter().rev().take(50).filter(|outcome| outcome.is_complete).count();
    let old = site.engines.iter().filter(|engine| engine.weights() < 2).count();
    let summary = format!(
        "{old} of {ENGINES} engines have older weights {} ms after newer ones were named; {served} of {} requests \
         served, {last} of the last 50",
        named.elapsed().as_millis(),
        outcomes.len(),
    );
    record.line(&summary);
    Ok(if old > 1 && old * 10 > ENGINES { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
