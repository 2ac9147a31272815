//! A router is killed while requests for one service wait at the node that assigns its engines, and
//! starts again. Its new run gets requests for another service.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::client::Ask;
use crate::engine::Spec;
use crate::router::Router;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const SERVICES: [(&str, &str); 2] = [("board", "llm-board"), ("check", "llm-check")];
const ENGINES: usize = 2;
const SLOTS: usize = 6;
const ROUTERS: u8 = 7;

/// How long after it was killed the router starts again.
const RESTART: Duration = Duration::from_millis(500);

fn ask(id: String, route: &str, events: u64, gap_ms: u64) -> Ask {
    let part = if route == "board" { 0x5c1e_07a2 } else { 0x91bd_3f06 };
    Ask { id, route: route.to_owned(), events, gap_ms, deadline_ms: 12_000, part, leaves: None }
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = SERVICES.map(|(name, service)| Route { name, service, kind: Kind::Stream, max_attempts: 1 });
    let engines = SERVICES.iter().flat_map(|(name, service)| {
        (1..=ENGINES).map(move |n| Spec { id: format!("i-{name}-{n}"), service: (*service).to_owned(), slots: SLOTS, is_plain: false, endless_one_in: None, unframed_one_in: None })
    });
    let mut site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), ROUTERS)?;
    let record = site.record.clone();

    // Which nodes assign the engines: one that assigns none is killed. Its run has asked for no
    // assignment yet, since the probes go through another one.
    let other = site.routers.len() - 1;
    for (route, _) in SERVICES {
        let sent = client::send(site.routers[other].front, ask(format!("probe-{route}"), route, 1, 20), &record);
        let outcome = sent.join().map_err(|_| "a client ended".to_owned())?;
        if !outcome.is_complete {
            return Err(format!("the site doesn't serve /{route}/: {outcome:?}"));
        }
    }
    let assigns: Vec<bool> = site.routers.iter().map(Router::assigns_engines).collect::<Result<_, _>>()?;
    record.line(format!("which routers assign engines: {assigns:?}"));
    let victim = assigns.iter().position(|assigns| !assigns).filter(|victim| *victim != other);
    let victim = victim.ok_or("every router assigns engines")?;
    record.line(format!("the router to be killed is {}", site.routers[victim].name));

    // Both services are full: each slot of theirs is taken by a request through another router.
    let mut open = Vec::new();
    for (route, _) in SERVICES {
        for n in 0..ENGINES * SLOTS {
            // Those of the first service end one after the other, some 25 ms apart.
            let gap_ms = if route == "board" { 125 + n as u64 } else { 300 };
            let sent = ask(format!("full-{route}-{n}"), route, 20, gap_ms);
            open.push(client::send(site.routers[other].front, sent, &record));
            thread::sleep(Duration::from_millis(5));
        }
    }
    thread::sleep(Duration::from_millis(1_600));

    // Requests for the first service wait.
    for n in 0..24 {
        let sent = ask(format!("board-{n}"), "board", 3, 50);
        open.push(client::send(site.routers[victim].front, sent, &record));
        thread::sleep(Duration::from_millis(8));
    }
    thread::sleep(Duration::from_millis(100));
    if has_trouble {
        site.routers[victim].kill().map_err(|e| e.to_string())?;
        thread::sleep(RESTART);
        site.routers[victim].spawn().map_err(|e| e.to_string())?;
        if !site.routers[victim].wait_ready(Duration::from_secs(5)) {
            return Err("the router did not start again".to_owned());
        }
    }
    // Requests for the second service.
    for n in 0..12 {
        let sent = ask(format!("check-{n}"), "check", 3, 50);
        open.push(client::send(site.routers[victim].front, sent, &record));
        thread::sleep(Duration::from_millis(2));
    }
    let outcomes = open.into_iter().map(|sent| sent.join().map_err(|_| "a client ended".to_owned()));
    let outcomes = outcomes.collect::<Result<Vec<_>, _>>()?;
    let served = outcomes.iter().filter(|outcome| outcome.is_complete).count();

    let is_foreign = |path: &str, service: &str| {
        let allowed = SERVICES.iter().find(|(route, _)| path.starts_with(&format!("/{route}/")));
        allowed.is_none_or(|(_, known)| *known != service)
    };
    let seen = site.sightings.all();
    let foreign: Vec<_> =
        seen.iter().filter(|seen| seen.has_run && is_foreign(&seen.path, &seen.service)).collect();
    for seen in &foreign {
        record.line(format!("ROUTE: request {} for {} ran at engine {} of {}", seen.id, seen.path, seen.engine, seen.service));
    }
    let summary = format!("{} of {} requests run by a foreign service; {served} of {} served",
        foreign.len(), seen.iter().filter(|seen| seen.has_run).count(), outcomes.len());
    record.line(&summary);
    Ok(if foreign.is_empty() { Verdict::Held(summary) } else { Verdict::Broken(summary) })
}
