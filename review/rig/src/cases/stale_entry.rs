//! An engine whose entry was removed stays in use at a node for good.
//!
//! Node A is partitioned from the store and asks its peer for news. Node B is restarted as planned,
//! and while it is away the entry of an engine is removed. B starts, lists the store, and tells A
//! all that it has: the removal is not among it.

use std::thread;
use std::time::Duration;

use crate::site::Site;

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// `core_cut`, `for_s = 5.5` in the site file.
const CUT_MS: u64 = 5_500;
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
const LEAVING: &str = "i-shop0";

pub fn run(mut site: Site, has_trouble: bool) -> Result<bool, String> {
    let began_ms = site.now_ms();
    site.traffic(&[0, 1], 10, began_ms + 2_000);
    if has_trouble {
        site.record.show("A is partitioned from the store");
        site.links[0].cut();
    }
    let cut_ms = site.now_ms();
    site.traffic(&[0, 1], 10, cut_ms + 500);
    site.record.show("B gets SIGTERM");
    if !site.nodes[1].stop(GRACE) {
        return Err("B does not stop".to_owned());
    }
    let ended_ms = site.now_ms();
    site.record.show(&format!("B has ended, at {ended_ms} ms"));
    site.traffic(&[0], 10, ended_ms + 100);
    let key = site.engine(LEAVING).key();
    site.store.remove(&key);
    let removed_ms = site.now_ms();
    site.record.show(&format!("the store acknowledges that {LEAVING} is gone, at {removed_ms} ms"));
    site.traffic(&[0], 10, ended_ms + 400);
    site.record.show("B starts again");
    site.nodes[1].spawn().map_err(|e| e.to_string())?;
    site.traffic(&[0], 10, cut_ms + CUT_MS);
    site.links[0].heal();
    let healed_ms = site.now_ms();
    site.record.show(&format!("A reaches the store again, at {healed_ms} ms"));
    let judged_from_ms = healed_ms + CONTACT_MS + 200;
    site.traffic(&[0, 1], 10, judged_from_ms + 6_000);
    // It served for many seconds after it had left the list, and now it exits. Some requests are on
    // their way at that moment.
    for _ in 0..4 {
        site.send_plain(0, "unsafe");
    }
    thread::sleep(Duration::from_millis(15));
    let exits_ms = site.now_ms();
    site.record.show(&format!("{LEAVING} exits, at {exits_ms} ms"));
    site.engine(LEAVING).server.end();
    site.traffic(&[0, 1], 10, exits_ms + 500);
    site.finish();
    let runs = site.runs.lock().unwrap().clone();
    let sent = site.sent.lock().unwrap().clone();
    let late = runs.iter().filter(|run| {
        run.engine == LEAVING
            && run.arrived_ms > removed_ms + DRAIN_MS
            && sent.iter().any(|s| s.id == run.request && s.at_ms >= judged_from_ms)
    });
    let late: Vec<_> = late.collect();
    let judged = sent.iter().filter(|sent| sent.at_ms >= judged_from_ms).count();
    let of_node = |name: &str| {
        late.iter().filter(|r| sent.iter().any(|s| s.id == r.request && s.node == name)).count()
    };
    site.record.show(&format!(
        "{} of {judged} requests that clients sent after {judged_from_ms} ms reached {LEAVING}: \
         {} from A, {} from B",
        late.len(),
        of_node(&site.nodes[0].name),
        of_node(&site.nodes[1].name),
    ));
    let lost = late.iter().filter(|run| {
        run.outcome != "whole"
            && sent.iter().any(|s| s.id == run.request && s.kind == "unsafe" && s.answer != "200")
    });
    site.record.show(&format!("{} unsafe requests were cut by its exit", lost.count()));
    Ok(!late.is_empty())
}
