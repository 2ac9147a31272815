//! Requests wait for engines that are full. The router that has them stands still for a moment,
//! several times. Does each of them get an answer?

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client;
use crate::client::Ask;
use crate::client::Outcome;
use crate::engine::Spec;
use crate::record::Record;
use crate::router::Router;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 4;
const SLOTS: usize = 32;
const ROUTERS: u8 = 5;

/// The route's timeout, how long after it there must be an answer, and the bounds of the rule.
const TIMEOUT_MS: u64 = 5_000;
const AFTER_MS: u64 = 500;
const REQUESTS: usize = 8;

const FREEZE: Duration = Duration::from_millis(500);
const FREEZE_PERIOD: Duration = Duration::from_millis(1_500);
const FREEZES: usize = 8;

struct Sent {
    at_ms: u64,
    client: JoinHandle<Outcome>,
}

fn ask(id: String, events: u64) -> Ask {
    // The client waits longer than the route allows, so that the end of its patience hides nothing.
    Ask { id, route: "check".to_owned(), events, gap_ms: 100, deadline_ms: 7_000, part: 0x91bd_3f06, leaves: None }
}

/// Sends requests to a router, so far apart, until it is over.
fn press(
    router: &Router,
    name: &'static str,
    events: u64,
    gap: Duration,
    is_over: &Arc<AtomicBool>,
    all: &Arc<Mutex<Vec<Sent>>>,
    record: &Record,
) -> JoinHandle<()> {
    let (address, is_over, all, record) = (router.front, is_over.clone(), all.clone(), record.clone());
    let count = AtomicUsize::new(0);
    let router = router.name.clone();
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            let id = format!("{name}-{router}-{}", count.fetch_add(1, Ordering::SeqCst));
            let sent = Sent { at_ms: record.ms(), client: client::send(address, ask(id, events), &record) };
            all.lock().expect("no holder panics").push(sent);
            thread::sleep(gap);
        }
    })
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "check", service: "llm", kind: Kind::Urgent, max_attempts: 2 }];
    let engines = (1..=ENGINES)
        .map(|n| Spec { id: format!("i-{n}"), service: "llm".to_owned(), slots: SLOTS, is_plain: false });
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), ROUTERS)?;
    let record = site.record.clone();
    let last = site.routers.len() - 1;
    let probe = client::send(site.routers[last].front, ask("probe".to_owned(), 1), &record);
    probe.join().map_err(|_| "a client ended".to_owned())?;
    let assigns: Vec<bool> = site.routers.iter().map(Router::assigns_engines).collect::<Result<_, _>>()?;
    let victim = assigns.iter().position(|assigns| !assigns).ok_or("every router assigns engines")?;
    record.line(format!("which routers assign engines: {assigns:?}; {} will stand still", site.routers[victim].name));

    let is_over = Arc::new(AtomicBool::new(false));
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for (index, router) in site.routers.iter().enumerate() {
        let gap = Duration::from_millis(if index == victim { 12 } else { 40 });
        threads.push(press(router, "check", 20, gap, &is_over, &all, &record));
    }
    thread::sleep(Duration::from_millis(3_000));
    for _ in 0..FREEZES {
        if has_trouble {
            site.routers[victim].pause(true).map_err(|e| e.to_string())?;
        }
        let freeze = std::env::var("FREEZE_MS").ok().and_then(|t| t.parse().ok()).map_or(FREEZE, Duration::from_millis);
        thread::sleep(freeze);
        if has_trouble {
            site.routers[victim].pause(false).map_err(|e| e.to_string())?;
        }
        thread::sleep(FREEZE_PERIOD - FREEZE);
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| "a thread ended".to_owned())?;
    }
    let all = std::mem::take(&mut *all.lock().expect("no holder panics"));
    let sent = all.len();
    let (mut beyond, mut unanswered, mut served, mut refused) = (0, 0, 0, 0);
    for Sent { at_ms, client } in all {
        let outcome = client.join().map_err(|_| "a client ended".to_owned())?;
        let took_ms = outcome.ended_ms.saturating_sub(at_ms);
        served += usize::from(outcome.is_complete);
        refused += usize::from(outcome.status == Some(503));
        beyond += usize::from(took_ms >= TIMEOUT_MS);
        if took_ms > TIMEOUT_MS + AFTER_MS {
            unanswered += 1;
            record.line(format!("CONFIG: request {} has no answer after {took_ms} ms", outcome.id));
        }
    }
    let summary = format!(
        "{sent} requests, {served} served, {refused} refused; {beyond} unanswered at the route's timeout, \
         {unanswered} of them {AFTER_MS} ms later"
    );
    record.line(&summary);
    let is_broken = unanswered >= REQUESTS && unanswered * 2 > beyond;
    Ok(if is_broken { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
