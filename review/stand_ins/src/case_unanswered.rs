//! Requests wait at a router for engines that are full. The router stands still for about half a
//! second, once a round. Does each request get an answer by its route's timeout?

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

const ENGINES: usize = 4;
const SLOTS: usize = 32;
const ROUTERS: u8 = 7;

/// The route's timeout, how long after it there must be an answer, and the bounds of the rule.
const TIMEOUT_MS: u64 = 5_000;
const AFTER_MS: u64 = 500;
const REQUESTS: usize = 8;

/// How long the router stands still, by round.
const FREEZES_MS: [u64; 10] = [474, 478, 482, 486, 490, 494, 498, 502, 506, 510];
const WAITING: usize = 90;

fn ask(id: String, events: u64, gap_ms: u64) -> Ask {
    // The client waits longer than the route allows, so that the end of its patience hides nothing.
    Ask { id, route: "check".to_owned(), events, gap_ms, deadline_ms: 7_000, part: 0x91bd_3f06, leaves: None }
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "check", service: "llm", kind: Kind::Urgent, max_attempts: 2 }];
    let engines = (1..=ENGINES)
        .map(|n| Spec { id: format!("i-{n}"), service: "llm".to_owned(), slots: SLOTS, is_plain: false });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), ROUTERS)?;
    let record = site.record.clone();
    let last = site.routers.len() - 1;
    let probe = client::send(site.routers[last].front, ask("probe".to_owned(), 1, 20), &record);
    probe.join().map_err(|_| "a client ended".to_owned())?;
    let assigns: Vec<bool> = site.routers.iter().map(Router::assigns_engines).collect::<Result<_, _>>()?;
    let victim = assigns.iter().position(|assigns| !assigns).ok_or("every router assigns engines")?;
    let others: Vec<&Router> =
        site.routers.iter().enumerate().filter(|(index, _)| *index != victim).map(|(_, router)| router).collect();
    let router = &site.routers[victim];
    record.line(format!("which routers assign engines: {assigns:?}; {} will stand still", router.name));

    let (mut beyond, mut unanswered, mut served, mut refused, mut sent) = (0, 0, 0, 0, 0);
    for (round, freeze_ms) in FREEZES_MS.into_iter().enumerate() {
        let mut open = Vec::new();
        // Each slot is taken, and comes free after 1.5 to 4 s.
        for n in 0..ENGINES * SLOTS {
            let full = ask(format!("full-{round}-{n}"), 20, 75 + n as u64);
            open.push((record.ms(), client::send(others[n % others.len()].front, full, &record)));
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(300));
        for n in 0..WAITING {
            let waits = ask(format!("check-{round}-{n}"), 5, 100);
            open.push((record.ms(), client::send(router.front, waits, &record)));
            thread::sleep(Duration::from_millis(8));
        }
        if has_trouble {
            router.pause(true).map_err(|e| e.to_string())?;
            thread::sleep(Duration::from_millis(freeze_ms));
            router.pause(false).map_err(|e| e.to_string())?;
        }
        let mut hung = 0;
        for (at_ms, client) in open {
            let outcome = client.join().map_err(|_| "a client ended".to_owned())?;
            let took_ms = outcome.ended_ms.saturating_sub(at_ms);
            sent += 1;
            served += usize::from(outcome.is_complete);
            refused += usize::from(outcome.status == Some(503));
            beyond += usize::from(took_ms >= TIMEOUT_MS);
            if took_ms > TIMEOUT_MS + AFTER_MS {
                hung += 1;
                record.line(format!("CONFIG: request {} has no answer after {took_ms} ms", outcome.id));
            }
        }
        record.line(format!("round {round}, {freeze_ms} ms: {hung} requests without an answer"));
        unanswered += hung;
    }
    let summary = format!(
        "{sent} requests, {served} served, {refused} refused; {beyond} unanswered at the route's timeout, \
         {unanswered} of them {AFTER_MS} ms later"
    );
    record.line(&summary);
    let is_broken = unanswered >= REQUESTS && unanswered * 2 > beyond;
    Ok(if is_broken { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
