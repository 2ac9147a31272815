//! The store comes back from an older copy: what it lost does not come back as news, and what it
//! says from then on counts.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::site::Call;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;
use crate::site::UPSTREAM_LAPSE;
use crate::site::added_route;
use crate::site::configuration;
use redwingrill_lab::metadata_store::MetadataStore;
use redwingrill_lab::metadata_store::StoreCopy;
use redwingrill_lab::metadata_store::StoreFault;
use redwingrill_lab::metadata_store::StoreState;
use redwingrill_platform::PlatformStore;
use redwingrill_routing::LeaseId;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;
use redwingrill_transport::Pool;

/// How long the store is away, and how long afterwards others write again what it lost.
const AWAY: Duration = Duration::from_millis(500);
const WRITTEN_AGAIN: Duration = Duration::from_millis(500);

/// Writes that raise the revision.
fn write_often(site: &Site, count: usize) {
    (0..count).for_each(|n| {
        site.store.state.put("foreign", n.to_string());
    });
}

/// The store goes away and comes back from a copy; what it lost is not written again yet.
async fn restore(site: &Site, copy: &StoreCopy) {
    site.store.state.set_fault(StoreFault::Busy);
    sleep(AWAY).await;
    site.store.state.restore(copy);
    site.store.state.set_fault(StoreFault::None);
}

async fn status_of(site: &Site, node: &SiteNode, call: &Call) -> StatusCode {
    site.ask(node, call).await.status
}

#[tokio::test]
async fn changes_after_a_restore_are_not_in_force() {
    // The new history is shorter than the lost one, as long, or longer when the node asks again.
    for (lost, written) in [(40, 0), (4, 0), (2, 40)] {
        let site = Site::start(0, 1).await;
        let node = site.node("n1").await;
        let copy = site.store.state.copy();
        write_often(&site, lost);
        site.store.state.put("op/config", configuration(2, &[KEY], &[]));
        sleep(Duration::from_millis(400)).await;
        site.store.state.set_fault(StoreFault::Busy);
        sleep(AWAY).await;
        site.store.state.restore(&copy);
        site.store.state.put("op/config", configuration(3, &[KEY], &[added_route()]));
        write_often(&site, written);
        site.store.state.set_fault(StoreFault::None);
        let added = Call::new("added", "r1");
        site.wait(
            &format!("the added route, {lost} changes lost, {written} written"),
            async || status_of(&site, &node, &added).await == StatusCode::OK,
        )
        .await;
        site.stop(vec![node]).await;
    }
}

#[tokio::test]
async fn restore_brings_back_an_older_configuration() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    let copy = site.store.state.copy();
    write_often(&site, 10);
    site.store.state.put("op/config", configuration(2, &["another"], &[]));
    let call = Call::new("look", "r1");
    site.wait("the key is gone", async || {
        status_of(&site, &node, &call).await == StatusCode::UNAUTHORIZED
    })
    .await;
    restore(&site, &copy).await;
    write_often(&site, 40);
    let ends = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < ends {
        assert_eq!(status_of(&site, &node, &call).await, StatusCode::UNAUTHORIZED);
    }
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn upstream_that_left_is_used_again_after_a_restore() {
    for leaves in ["draining", "removed"] {
        let site = Site::start(0, 2).await;
        let node = site.node("n1").await;
        let copy = site.store.state.copy();
        write_often(&site, 10);
        match leaves {
            "draining" => site.shops[0].list("draining"),
            _ => site.shops[0].unlist(),
        }
        sleep(Duration::from_millis(400)).await;
        restore(&site, &copy).await;
        let before = site.shops[0].seen().len();
        let ends = Instant::now() + WRITTEN_AGAIN;
        while Instant::now() < ends {
            assert_eq!(status_of(&site, &node, &Call::new("look", "r1")).await, StatusCode::OK);
        }
        site.store.state.write_lost_again();
        let ends = Instant::now() + WRITTEN_AGAIN;
        while Instant::now() < ends {
            assert_eq!(status_of(&site, &node, &Call::new("look", "r1")).await, StatusCode::OK);
        }
        assert_eq!(site.shops[0].seen().len(), before, "{leaves}");
        site.stop(vec![node]).await;
    }
}

/// Starts a site whose only plain upstream left after the copy from which the store came back.
async fn site_whose_upstream_left() -> (Site, SiteNode) {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    let copy = site.store.state.copy();
    site.shops[0].unlist();
    sleep(Duration::from_millis(400)).await;
    restore(&site, &copy).await;
    (site, node)
}

#[tokio::test]
async fn upstream_that_is_written_again_after_a_restore_stays_unused() {
    let (site, node) = site_whose_upstream_left().await;
    // It is alive: its entry had only lapsed.
    site.shops[0].list("ready");
    let ends = Instant::now() + Duration::from_secs(8);
    while status_of(&site, &node, &Call::new("look", "r1")).await != StatusCode::OK {
        assert!(Instant::now() < ends, "the upstream is not used again");
    }
    site.stop(vec![node]).await;
}

/// An entry that does not lapse is that of a live upstream, though nobody writes it again.
#[tokio::test]
async fn upstream_that_stays_listed_after_a_restore_stays_unused() {
    let (site, node) = site_whose_upstream_left().await;
    // Without other changes and requests, only the node's own time brings it back.
    sleep(UPSTREAM_LAPSE + Duration::from_millis(500)).await;
    assert_eq!(status_of(&site, &node, &Call::new("look", "r1")).await, StatusCode::OK);
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn fencing_numbers_fall_after_a_restore() {
    let site = Site::start(3, 0).await;
    let nodes = [site.node("n1").await, site.node("n2").await];
    let copy = site.store.state.copy();
    write_often(&site, 100);
    site.name_version(2);
    site.wait_for_version(2).await;
    restore(&site, &copy).await;
    site.store.state.write_lost_again();
    site.name_version(3);
    site.wait_for_version(3).await;
    for engine in &site.engines {
        let fences = engine.orders();
        let fences: Vec<u64> = fences.iter().filter_map(|order| order["fence"].as_u64()).collect();
        assert!(fences.is_sorted(), "{fences:?}");
    }
    site.stop(nodes.into()).await;
}

#[tokio::test]
async fn member_that_a_restore_lost_stays_unlisted() {
    let site = Site::start(0, 1).await;
    let copy = site.store.state.copy();
    let node = site.node("n1").await;
    let key = "redwingrill/members/n1";
    site.wait("the member is listed", async || site.store.state.get(key).is_some()).await;
    restore(&site, &copy).await;
    assert!(site.store.state.get(key).is_none());
    site.wait("the member is listed again", async || site.store.state.get(key).is_some()).await;
    site.stop(vec![node]).await;
}

/// Writes a key under a new lease.
async fn write_leased(store: &PlatformStore, key: &str) -> LeaseId {
    let lease = store.grant(Duration::from_secs(5)).await.expect("the store answers").id;
    let write = Write {
        conditions: Vec::new(),
        key: key.to_owned(),
        value: Bytes::from_static(b"1"),
        lease: Some(lease),
    };
    let outcome = store.write(write).await.expect("the store answers");
    assert!(matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
    lease
}

/// After a restore the identifiers of lost leases are given to others.
#[tokio::test]
async fn lease_that_a_restore_lost_is_renewed_for_another() {
    let server = MetadataStore::start(StoreState::default()).await.expect("a free port");
    let copy = server.state.copy();
    let store = PlatformStore::new(server.address(), Pool::new());
    let other = PlatformStore::new(server.address(), Pool::new());
    let lost = write_leased(&store, "redwingrill/a").await;
    server.state.restore(&copy);
    let granted = write_leased(&other, "redwingrill/b").await;
    assert_eq!(store.renew(lost).await, Ok(false));
    store.revoke(lost).await.expect("the store answers");
    assert_eq!(other.renew(granted).await, Ok(true), "the lease of another was ended");
    server.stop().await;
}

/// A watch may succeed after a restore, once the new history has passed the old revision.
#[tokio::test]
async fn watch_goes_on_in_another_history() {
    let server = MetadataStore::start(StoreState::default()).await.expect("a free port");
    let store = PlatformStore::new(server.address(), Pool::new());
    let copy = server.state.copy();
    server.state.put("a", "lost");
    let listing = store.list("").await.expect("the store answers");
    server.state.restore(&copy);
    server.state.put("b", "skipped");
    server.state.put("c", "seen");
    let changes = store.changes("", listing.complete_to, Duration::ZERO).await;
    assert_eq!(changes, Err(SharedStoreError::HistoryDropped));
    server.stop().await;
}

/// The copy names this instance as the leader; another one may have led since.
#[tokio::test]
async fn leader_in_the_copy_does_not_wait_for_who_led_since() {
    const LEASE: Duration = Duration::from_secs(3);
    let mut site = Site::start(2, 0).await;
    site.rollout_lease = LEASE;
    let node = site.node("n1").await;
    let leader = json!({"name": "n1", "instance": node.peers, "tenure": 1, "has_commanded": true,
        "loading": []});
    site.store.state.put("redwingrill/rollout/holder", leader.to_string());
    let copy = site.store.state.copy();
    site.store.state.remove("redwingrill/rollout/holder");
    sleep(Duration::from_millis(400)).await;
    restore(&site, &copy).await;
    let restored = Instant::now();
    site.name_version(2);
    while site.engines.iter().all(|engine| engine.orders().is_empty()) {
        assert!(restored.elapsed() < 3 * LEASE, "no command");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(restored.elapsed() >= LEASE, "{:?}", restored.elapsed());
    site.stop(vec![node]).await;
}

/// The copy holds a grace record whose lease had ended since.
#[tokio::test]
async fn grace_record_in_the_copy_revives_expired_weights() {
    const LIMIT: Duration = Duration::from_secs(3);
    let mut site = Site::start(1, 0).await;
    site.stale_version_limit = LIMIT;
    // Another instance leads and loads nothing.
    let leader = json!({"name": "n0", "tenure": 1, "loading": []});
    site.store.state.put("redwingrill/rollout/holder", leader.to_string());
    let first = site.node("n1").await;
    site.name_version(2);
    let published = Instant::now();
    let record = "redwingrill/grace/m/2";
    site.wait("the record", async || site.store.state.get(record).is_some()).await;
    let copy = site.store.state.copy();
    sleep(LIMIT.saturating_sub(published.elapsed())).await;
    assert!(site.store.state.get(record).is_none(), "its lease has ended");
    first.node.drain().await.finish().await;
    restore(&site, &copy).await;
    assert!(site.store.state.get(record).is_some(), "the copy has it");
    let restarted = site.node("n1").await;
    let answer = site.ask(&restarted, &Call::new("draft", "r1")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(site.engines[0].runs(), 0);
    site.stop(vec![restarted]).await;
}

/// A record of an earlier era does not count, so that of the new era takes its place.
#[tokio::test]
async fn grace_record_in_the_copy_keeps_it_from_being_written_again() {
    let site = Site::start(1, 0).await;
    let leader = json!({"name": "n0", "tenure": 1, "loading": []});
    site.store.state.put("redwingrill/rollout/holder", leader.to_string());
    let node = site.node("n1").await;
    site.name_version(2);
    let record = "redwingrill/grace/m/2";
    site.wait("the record", async || site.store.state.get(record).is_some()).await;
    let copy = site.store.state.copy();
    restore(&site, &copy).await;
    site.wait("the record of the new era", async || {
        let value = site.store.state.get(record).unwrap_or_default();
        let item: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
        item["era"] == 1
    })
    .await;
    site.stop(vec![node]).await;
}
