//! An engine crashes. Its streams are to go on at other engines, which are full; the clients of these
//! streams leave. Do engines still get their requests?

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Ask;
use crate::client::Leaving;
use crate::engine::Spec;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 4;
const SLOTS: usize = 16;

/// How long after a client has left a request may still reach an engine, and how many are a few.
const LEFT_MS: u64 = 500;
const FEW: usize = 5;

/// Three silent heartbeats, after which the entry of an engine goes.
const LAPSE: Duration = Duration::from_millis(3_600);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "check", service: "llm", kind: Kind::Resumable, max_attempts: 2 }];
    let engines = (1..=ENGINES).map(|n| Spec { id: format!("i-{n}"), service: "llm".to_owned(), slots: SLOTS, is_plain: false, endless_one_in: None, unframed_one_in: None });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), 2)?;
    let record = site.record.clone();
    let mut open = Vec::new();
    for n in 0..ENGINES * SLOTS {
        let ask = Ask {
            id: format!("check-{n}"),
            route: "check".to_owned(),
            events: 22,
            gap_ms: 100,
            deadline_ms: 12_000,
            part: 0x5c1e_07a2,
            // An event every 100 ms; who sees none for 300 ms leaves.
            leaves: Some(Leaving { pause_ms: 300 }),
        };
        open.push(client::send(site.routers[n % site.routers.len()].front, ask, &record));
        thread::sleep(Duration::from_millis(4));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        site.engines[0].crash();
    }
    let crashed = Instant::now();
    let outcomes = open.into_iter().map(|sent| sent.join().map_err(|_| "a client ended".to_owned()));
    let outcomes = outcomes.collect::<Result<Vec<_>, _>>()?;
    if has_trouble {
        thread::sleep(LAPSE.saturating_sub(crashed.elapsed()));
        site.engines[0].unlist();
    }
    thread::sleep(Duration::from_millis(2_500));

    let seen = site.sightings.all();
    let left = outcomes.iter().filter(|outcome| outcome.left_ms.is_some()).count();
    let late: Vec<_> = seen
        .iter()
        .filter(|seen| {
            let outcome = outcomes.iter().find(|outcome| outcome.id == seen.id);
            let left_ms = outcome.and_then(|outcome| outcome.left_ms);
            left_ms.is_some_and(|left_ms| seen.arrived_ms > left_ms + LEFT_MS)
        })
        .collect();
    for seen in &late {
        record.line(format!("GONE: request {} reached engine {} at {} ms", seen.id, seen.engine, seen.arrived_ms));
    }
    let served = outcomes.iter().filter(|outcome| outcome.is_complete).count();
    let summary = format!(
        "{left} of {} clients left; {} requests reached an engine over {LEFT_MS} ms after; {served} served",
        outcomes.len(),
        late.len(),
    );
    record.line(&summary);
    Ok(if late.len() > FEW { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
