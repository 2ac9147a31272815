//! Engines leave without a word: their entries are removed, and they serve on for a while. Meanwhile
//! the store cuts watches that wait.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::engine::Engine;
use crate::engine::Spec;
use crate::site::Kind;
use crate::site::Route;
use crate::site::Site;
use crate::site::Verdict;

const ENGINES: usize = 12;
const LEAVING: usize = 5;

/// The bound of the rule, and what the clocks of this script may be off.
const DRAIN_MS: u64 = 2_000;
const SLACK_MS: u64 = 25;

const LEAVE_PERIOD: Duration = Duration::from_millis(2_300);
const CUT_PERIOD: Duration = Duration::from_millis(1_000);
const CLIENTS: usize = 16;

fn spec(n: usize) -> Spec {
    Spec { id: format!("i-{n}"), service: "shop".to_owned(), slots: 6, is_plain: true, endless_one_in: None, unframed_one_in: None }
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "order", service: "shop", kind: Kind::Unsafe, max_attempts: 1 }];
    let engines = (1..=ENGINES).map(spec);
    let site = Site::start(folder, &routes, &engines.collect::<Vec<_>>(), 3)?;
    let record = site.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients = (0..CLIENTS).map(|client| {
        let (is_over, record, address) =
            (is_over.clone(), record.clone(), site.routers[client % site.routers.len()].front);
        let (sent, served) = (sent.clone(), served.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("order-{client}-{}", sent.fetch_add(1, Ordering::SeqCst));
                let status = client::plain(address, "order", &id, &record);
                served.fetch_add(usize::from(status == Some(200)), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(25));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let cutter = has_trouble.then(|| {
        let (store, is_over, record) = (site.store.clone(), is_over.clone(), record.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(CUT_PERIOD);
                store.cut_watches();
                record.line("the store cuts the watches that wait");
            }
        })
    });
    thread::sleep(Duration::from_millis(1_500));
    let (mut left, mut replacements) = (Vec::new(), Vec::new());
    for (n, engine) in site.engines[..LEAVING].iter().enumerate() {
        // The new one starts first.
        let spec = spec(ENGINES + 1 + n);
        let started = Engine::start(spec, &site.store, &record, &site.sightings).map_err(|e| e.to_string())?;
        replacements.push(started);
        thread::sleep(Duration::from_millis(500));
        engine.unlist();
        left.push(record.ms());
        record.line(format!("engine {} has left the list and serves on", engine.id()));
        thread::sleep(LEAVE_PERIOD);
    }
    thread::sleep(Duration::from_millis(2_000));
    is_over.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain(cutter) {
        thread.join().map_err(|_| "a thread ended".to_owned())?;
    }
    let seen = site.sightings.all();
    let mut late_all = 0;
    let mut late_engines = 0;
    for (engine, left_ms) in site.engines.iter().zip(&left) {
        let of_engine = seen.iter().filter(|seen| seen.engine == engine.id());
        let late: Vec<u64> = of_engine
            .map(|seen| seen.arrived_ms.saturating_sub(*left_ms))
            .filter(|after_ms| *after_ms > DRAIN_MS + SLACK_MS)
            .collect();
        record.line(format!(
            "engine {}: {} requests reached it over {DRAIN_MS} ms after it left, the last {:?} ms after",
            engine.id(), late.len(), late.iter().max(),
        ));
        late_all += late.len();
        late_engines += usize::from(!late.is_empty());
    }
    let summary = format!(
        "{late_all} requests reached {late_engines} of {LEAVING} engines over {DRAIN_MS} ms after they left; \
         {} of {} requests served",
        served.load(Ordering::SeqCst), sent.load(Ordering::SeqCst),
    );
    record.line(&summary);
    Ok(if late_all > 0 { Verdict::Broken(summary) } else { Verdict::Held(summary) })
}
