//! Requests wait at a router for engines that are full. The router stands still for about a second,
//! then the next one does. Does each request get an answer by its route's timeout?

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Ask;
use crate::engine::Spec;
use crate::router::Router;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 4;
const SLOTS: usize = 8;
const ROUTERS: u8 = 7;

/// The route's timeout, how long after it there must be an answer, and the bounds of the rule.
const TIMEOUT_MS: u64 = 5_000;
const AFTER_MS: u64 = 500;
const REQUESTS: usize = 8;

/// How long a router stands still, how often one does, and how many do in all.
const FREEZES_MS: [u64; 3] = [800, 1_000, 1_200];
const FREEZE_PERIOD: Duration = Duration::from_millis(1_650);
const FREEZES: usize = 54;

/// How long before it stands still its clients send their requests, and how many do.
const BEFORE: Duration = Duration::from_millis(420);
const WAITING: usize = 6;

fn ask(id: String, route: &str, events: u64, gap_ms: u64, deadline_ms: u64) -> Ask {
    Ask { id, route: route.to_owned(), events, gap_ms, deadline_ms, part: 0x91bd_3f06, leaves: None }
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [
        Route { name: "check", service: "llm", kind: Kind::Urgent, max_attempts: 2 },
        Route { name: "board", service: "llm", kind: Kind::Stream, max_attempts: 1 },
    ];
    let engines = (1..=ENGINES)
        .map(|n| Spec { id: format!("i-{n}"), service: "llm".to_owned(), slots: SLOTS, is_plain: false, endless_one_in: None, unframed_one_in: None });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), ROUTERS)?;
    let record = site.record.clone();
    let last = site.routers.len() - 1;
    let probe = client::send(site.routers[last].front, ask("probe".to_owned(), "check", 1, 20, 5_000), &record);
    probe.join().map_err(|_| "a client ended".to_owned())?;
    let assigns: Vec<bool> = site.routers.iter().map(Router::assigns_engines).collect::<Result<_, _>>()?;
    record.line(format!("which routers assign engines: {assigns:?}"));
    // The router that assigns engines has no clients of its own.
    let others = site.routers.iter().zip(&assigns).filter(|(_, assigns)| !**assigns);
    let others: Vec<&Router> = others.map(|(router, _)| router).collect();

    // Each slot is taken for ten seconds, and by another request then.
    let is_over = Arc::new(AtomicBool::new(false));
    let full = (0..ENGINES * SLOTS).map(|n| {
        let (address, record, is_over) = (others[n % others.len()].front, record.clone(), is_over.clone());
        thread::spawn(move || {
            for turn in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                // The first ones are shorter, so that they do not end together.
                let events = if turn == 0 { 4 + (n as u64 * 20) / (ENGINES * SLOTS) as u64 } else { 20 };
                let ask = ask(format!("full-{n}-{turn}"), "board", events, 500, 12_000);
                let _ = client::send(address, ask, &record).join();
            }
        })
    });
    let full: Vec<_> = full.collect();
    thread::sleep(Duration::from_millis(1_000));

    let mut open = Vec::new();
    for round in 0..FREEZES {
        let began = Instant::now();
        let router = others[round % others.len()];
        for n in 0..WAITING {
            // The client waits longer than the route allows, so that the end of its patience hides nothing.
            let waits = ask(format!("check-{round}-{n}"), "check", 3, 50, 7_000);
            open.push((record.ms(), client::send(router.front, waits, &record)));
        }
        thread::sleep(BEFORE);
        if has_trouble {
            router.pause(true).map_err(|e| e.to_string())?;
            thread::sleep(Duration::from_millis(FREEZES_MS[round % FREEZES_MS.len()]));
            router.pause(false).map_err(|e| e.to_string())?;
        }
        thread::sleep(FREEZE_PERIOD.saturating_sub(began.elapsed()));
    }
    let (mut beyond, mut unanswered, mut served, mut refused, mut sent) = (0, 0, 0, 0, 0);
    for (at_ms, client) in open {
        let outcome = client.join().map_err(|_| "a client ended".to_owned())?;
        let took_ms = outcome.ended_ms.saturating_sub(at_ms);
        sent += 1;
        served += usize::from(outcome.is_complete);
        refused += usize::from(outcome.status == Some(503));
        beyond += usize::from(took_ms >= TIMEOUT_MS);
        if took_ms > TIMEOUT_MS + AFTER_MS {
            unanswered += 1;
            record.line(format!("CONFIG: request {} has no answer after {took_ms} ms", outcome.id));
        }
    }
    is_over.store(true, Ordering::SeqCst);
    drop(full);
    let summary = format!(
        "{sent} requests, {served} served, {refused} refused; {beyond} unanswered at the route's timeout, \
         {unanswered} of them {AFTER_MS} ms later"
    );
    record.line(&summary);
    let is_broken = unanswered >= REQUESTS && unanswered * 2 > beyond;
    Ok(if is_broken { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
