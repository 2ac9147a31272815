//! The store does writes of an upstream late: what it wrote since counts.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::site::Call;
use crate::site::Site;
use crate::site::SiteNode;
use crate::site::UPSTREAM_LAPSE;

/// How long a change of an entry may take to reach a node.
const SEEN: Duration = Duration::from_millis(400);

/// How long requests are sent after a late write; shorter than [`UPSTREAM_LAPSE`].
const WATCHED: Duration = Duration::from_millis(1_200);

/// When the upstream of [`Entry::write`] started.
const START: u64 = 1_784_560_148_047;

/// The entry of an upstream.
struct Entry {
    key: String,
    value: serde_json::Value,
}

impl Entry {
    fn of(site: &Site, shop: usize) -> Self {
        let key = format!("servers/s{shop}");
        let value = site.store.state.get(&key).expect("the upstream is listed");
        Self { key, value: serde_json::from_slice(&value).expect("an entry") }
    }

    /// Does the write `sequence` of a start of the upstream.
    fn write(&self, site: &Site, state: &str, start: u64, sequence: u64) {
        let mut value = self.value.clone();
        value["state"] = json!(state);
        value["born"] = json!(start);
        value["sequence"] = json!(sequence);
        site.store.state.put(&self.key, value.to_string());
    }
}

/// Sends requests for a while and returns how many of them an upstream received.
async fn received_by(site: &Site, node: &SiteNode, shop: usize, length: Duration) -> usize {
    let before = site.shops[shop].seen().len();
    let ends = Instant::now() + length;
    while Instant::now() < ends {
        assert_eq!(site.ask(node, &Call::new("look", "r1")).await.status, StatusCode::OK);
    }
    site.shops[shop].seen().len() - before
}

/// Guards against requests to an upstream that is draining, after the store did an earlier write of it
/// late.
#[tokio::test]
async fn late_write_takes_back_the_draining_of_an_upstream() {
    let site = Site::start(0, 2).await;
    let node = site.node("n1").await;
    let entry = Entry::of(&site, 0);
    entry.write(&site, "ready", START, 1);
    sleep(SEEN).await;
    entry.write(&site, "draining", START, 5);
    sleep(SEEN).await;
    entry.write(&site, "ready", START, 2);
    assert_eq!(received_by(&site, &node, 0, WATCHED).await, 0);
    site.stop(vec![node]).await;
}

/// Guards against requests to an upstream that left, after the store did an earlier write of it late,
/// be it newer than the last one that changed the entry.
#[tokio::test]
async fn late_write_brings_back_an_upstream_that_left() {
    for late in [4, 2] {
        let site = Site::start(0, 2).await;
        let node = site.node("n1").await;
        let entry = Entry::of(&site, 0);
        entry.write(&site, "ready", START, 3);
        sleep(SEEN).await;
        site.store.state.remove(&entry.key);
        sleep(SEEN).await;
        entry.write(&site, "ready", START, late);
        assert_eq!(received_by(&site, &node, 0, WATCHED).await, 0, "write {late}");
        site.stop(vec![node]).await;
    }
}

/// Guards against a live upstream staying unused: its entry had lapsed, or its count began again.
#[tokio::test]
async fn live_upstream_with_an_older_write_stays_unused() {
    for (is_removed, sequence) in [(true, 9), (false, 2)] {
        let site = Site::start(0, 1).await;
        let node = site.node("n1").await;
        let entry = Entry::of(&site, 0);
        entry.write(&site, if is_removed { "ready" } else { "draining" }, START, 5);
        sleep(SEEN).await;
        if is_removed {
            site.store.state.remove(&entry.key);
            sleep(SEEN).await;
        }
        entry.write(&site, "ready", START, sequence);
        sleep(UPSTREAM_LAPSE + SEEN).await;
        assert!(received_by(&site, &node, 0, SEEN).await > 0, "removed: {is_removed}");
        site.stop(vec![node]).await;
    }
}

/// Guards against an upstream that started again under its identity staying unused, as its numbers
/// began anew.
#[tokio::test]
async fn next_start_of_an_upstream_stays_unused() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    let entry = Entry::of(&site, 0);
    entry.write(&site, "draining", START, 50);
    sleep(SEEN).await;
    entry.write(&site, "ready", START + 900, 1);
    sleep(SEEN).await;
    assert!(received_by(&site, &node, 0, SEEN).await > 0);
    site.stop(vec![node]).await;
}

/// Guards against a node that stays unlisted, as its entry was replaced by an earlier write of it whose
/// lease nobody renews.
#[tokio::test]
async fn late_write_ends_the_entry_of_a_live_member() {
    /// The lease of members, and a renewal after it.
    const LEASE: Duration = Duration::from_secs(22);
    let site = Site::start(0, 1).await;
    let key = "redwingrill/members/n1";
    site.store.state.hold_next_write(key);
    let node = site.node("n1").await;
    site.wait("a write is held", async || site.store.state.has_held_write()).await;
    site.wait("the member is listed", async || site.store.state.get(key).is_some()).await;
    site.store.do_held_write();
    sleep(LEASE).await;
    assert!(site.store.state.get(key).is_some());
    site.stop(vec![node]).await;
}
