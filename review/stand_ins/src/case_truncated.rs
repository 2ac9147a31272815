//! A few streams of some engines have neither a length nor chunks, and such an engine crashes between two
//! events: its connections end. Does a caller take a part of a stream for the whole?

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::client::Ask;
use crate::engine::Spec;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 4;
const STREAMS: usize = 160;

/// How many engines give some of their answers without length, and which share of them.
const UNFRAMED: usize = 2;
const ONE_IN: usize = 20;
const EVENTS: u64 = 20;

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [
        Route { name: "board", service: "llm", kind: Kind::Stream, max_attempts: 1 },
        Route { name: "check", service: "llm", kind: Kind::Resumable, max_attempts: 2 },
    ];
    let engines = (1..=ENGINES).map(|n| Spec {
        id: format!("i-{n}"),
        service: "llm".to_owned(),
        slots: 64,
        is_plain: false,
        endless_one_in: None,
        unframed_one_in: (n <= UNFRAMED).then_some(ONE_IN),
    });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), 2)?;
    let record = site.record.clone();
    let mut open = Vec::new();
    for n in 0..STREAMS {
        let route = routes[n % routes.len()].name;
        let ask = Ask {
            id: format!("{route}-{n}"),
            route: route.to_owned(),
            events: EVENTS,
            gap_ms: 100,
            deadline_ms: 12_000,
            // Parts of their own, so that the engines share the streams evenly.
            part: 0x5c1e_0000 + n as u64,
            leaves: None,
        };
        open.push(client::send(site.routers[n % site.routers.len()].front, ask, &record));
        thread::sleep(Duration::from_millis(4));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        site.engines[0].crash();
    }
    let outcomes = open.into_iter().map(|sent| sent.join().map_err(|_| "a client ended".to_owned()));
    let outcomes = outcomes.collect::<Result<Vec<_>, _>>()?;
    let whole = outcomes.iter().filter(|outcome| outcome.is_complete && outcome.last_event == EVENTS).count();
    let cut: Vec<_> =
        outcomes.iter().filter(|outcome| outcome.is_complete && outcome.last_event < EVENTS).collect();
    for outcome in &cut {
        record.line(format!(
            "ORDER: the stream of request {} ended as complete after event {} of {EVENTS}",
            outcome.id, outcome.last_event,
        ));
    }
    let summary = format!(
        "{} of {STREAMS} streams ended as complete before their last event; {whole} whole",
        cut.len(),
    );
    record.line(&summary);
    Ok(if cut.is_empty() { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
