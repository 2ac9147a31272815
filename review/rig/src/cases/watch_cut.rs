//! A watch that is cut makes a node go on with an engine that has left.
//!
//! The store closes the watches that wait, as it may. An engine's entry is removed before the node
//! watches again. The node takes the failed call for an outage of the store, and keeps the engine
//! for 2.1 s from its next answer on.

use std::thread;
use std::time::Duration;

use crate::site::Site;

const DRAIN_MS: u64 = 2_000;
const LEAVING: &str = "i-shop0";

pub fn run(mut site: Site, has_trouble: bool) -> Result<bool, String> {
    let began_ms = site.now_ms();
    site.traffic(&[0, 1], 25, began_ms + 4_000);
    if has_trouble {
        site.record.show("the store cuts the watches that wait");
        site.store.cut_watches();
    }
    thread::sleep(Duration::from_millis(10));
    let key = site.engine(LEAVING).key();
    site.store.remove(&key);
    let removed_ms = site.now_ms();
    site.record.show(&format!("the store acknowledges that {LEAVING} is gone, at {removed_ms} ms"));
    site.traffic(&[0, 1], 25, removed_ms + 5_000);
    site.finish();
    let runs = site.runs.lock().unwrap().clone();
    let late =
        runs.iter().filter(|run| run.engine == LEAVING && run.arrived_ms > removed_ms + DRAIN_MS);
    let late: Vec<_> = late.collect();
    let last_ms = late.iter().map(|run| run.arrived_ms - removed_ms).max().unwrap_or(0);
    site.record.show(&format!(
        "{} requests reached {LEAVING} later than {DRAIN_MS} ms after it had left, the last one \
         after {last_ms} ms",
        late.len(),
    ));
    Ok(!late.is_empty())
}
