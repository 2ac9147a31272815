//! What is in force, and how soon: by the store, by peers, and while the store is away.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::time::Instant;

use crate::site::Call;
use crate::site::IN_FORCE;
use crate::site::KEY;
use crate::site::Site;
use crate::site::added_route;
use crate::site::configuration;
use redwingrill_lab::metadata_store::MetadataStore;
use redwingrill_lab::metadata_store::StoreFault;
use redwingrill_lab::metadata_store::StoreState;
use redwingrill_lab::soak::Link;
use redwingrill_lab::soak::LinkState;

#[tokio::test]
async fn a_configuration_is_in_force_and_a_key_taken_away() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    let added = Call::new("added", "r1");
    assert_eq!(site.ask(&node, &added).await.status, StatusCode::NOT_FOUND);
    site.store.state.put("op/config", configuration(2, &[KEY], &[added_route()]));
    site.wait("the added route", async || site.ask(&node, &added).await.status == StatusCode::OK)
        .await;
    site.store.state.put("op/config", configuration(3, &["another"], &[added_route()]));
    site.wait("the key is gone", async || {
        site.ask(&node, &added).await.status == StatusCode::UNAUTHORIZED
    })
    .await;
    site.stop(vec![node]).await;
}

/// Entries that another writer left among those of the upstreams.
#[tokio::test]
async fn odd_entry_ends_the_node_or_its_updates() {
    let site = Site::start(1, 1).await;
    let node = site.node("n1").await;
    let state = &site.store.state;
    let entry = |field: &str, value: serde_json::Value| {
        let mut entry = json!({"service": "shop", "address": site.shops[0].address().to_string(),
            "zone": "a", "slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "models": [{"name": "m", "version": 1, "adapters": []}], "born": 1});
        entry[field] = value;
        entry.to_string()
    };
    state.put("servers/nested", "[".repeat(100_000));
    state.put("servers/nested-field", format!("{{\"odd\":{}", "{\"a\":".repeat(100_000)));
    state.put("servers/huge", entry("sequence", json!(1)).replace("\"born\":1", "\"born\":1e999"));
    state.put("servers/long-number", entry("cold_left_ms", json!(f64::MAX)));
    state.put("servers/many-slots", entry("slots", json!(u32::MAX)));
    state.put("servers/late", entry("born", json!(u64::MAX)));
    state.put("servers/port", entry("address", json!("127.0.0.1:70000")));
    state.put("servers/port-zero", entry("address", json!("127.0.0.1:0")));
    let mut versions = entry("slots", json!(8));
    versions = versions.replace("\"version\":1", &format!("\"version\":{}", u64::MAX));
    state.put("servers/version", versions.replace("\"shop\"", "\"llm\""));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (n, route) in ["order", "look", "draft", "check"].into_iter().cycle().take(40).enumerate() {
        let answer = site.ask(&node, &Call::new(route, &format!("r{n}"))).await;
        assert_eq!(answer.status, StatusCode::OK, "{route} {n}: {answer:?}");
    }
    // The node still follows the store.
    state.put("op/config", configuration(2, &[KEY], &[added_route()]));
    let added = Call::new("added", "r-added");
    site.wait("the added route", async || site.ask(&node, &added).await.status == StatusCode::OK)
        .await;
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn what_cannot_be_read_changes_nothing() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    let state = &site.store.state;
    state.put("op/config", "{\"version\": 2, \"routes\": [");
    state.put("servers/torn", "{\"service\": \"shop\", \"address\": 7");
    state.put(
        "servers/odd",
        json!({"service": "shop", "address": "127.0.0.1:1", "zone": "a",
        "slots": 8, "state": "asleep"})
        .to_string(),
    );
    state.put("op/version/m", "\u{0}");
    state.put("redwingrill/members/x", "[]");
    state.put("foreign", "1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    for n in 0..10 {
        let answer = site.ask(&node, &Call::new("order", &format!("r{n}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn an_upstream_that_leaves_gets_no_new_requests() {
    for leaves in ["draining", "removed"] {
        let site = Site::start(0, 2).await;
        let node = site.node("n1").await;
        match leaves {
            "draining" => site.shops[0].list("draining"),
            _ => site.shops[0].unlist(),
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        let before = site.shops[0].seen().len();
        for n in 0..20 {
            let answer = site.ask(&node, &Call::new("order", &format!("r{n}"))).await;
            assert_eq!(answer.status, StatusCode::OK, "{leaves}");
        }
        assert_eq!(site.shops[0].seen().len(), before, "{leaves}");
        site.stop(vec![node]).await;
    }
}

#[tokio::test]
async fn a_node_lists_anew_when_the_history_is_dropped() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    site.store.state.put("op/config", configuration(2, &[KEY], &[added_route()]));
    site.store.state.drop_history();
    site.wait("the added route", async || {
        site.ask(&node, &Call::new("added", "r1")).await.status == StatusCode::OK
    })
    .await;
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn a_node_serves_while_the_store_is_away() {
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::LosesAnswers] {
        let site = Site::start(1, 1).await;
        let node = site.node("n1").await;
        site.store.state.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(site.is_ready(&node).await, "{fault:?}");
        for route in ["order", "draft"] {
            let answer = site.ask(&node, &Call::new(route, "r1")).await;
            assert_eq!(answer.status, StatusCode::OK, "{fault:?} {route}");
        }
        site.stop(vec![node]).await;
    }
}

/// Upstreams whose entries lapsed while the store was away are kept until live ones are listed
/// again; one that is still missing then is gone.
#[tokio::test]
async fn lapsed_upstreams_are_kept_until_they_are_listed_again() {
    let site = Site::start(0, 2).await;
    let node = site.node("n1").await;
    let state = &site.store.state;
    state.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    site.shops.iter().for_each(|shop| shop.unlist());
    state.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let answer = site.ask(&node, &Call::new("order", "r1")).await;
    assert_eq!(answer.status, StatusCode::OK, "they are kept");
    site.shops[0].list("ready");
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    let before = site.shops[1].seen().len();
    for n in 0..10 {
        let answer = site.ask(&node, &Call::new("order", &format!("s{n}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(site.shops[1].seen().len(), before, "the other is gone");
    site.stop(vec![node]).await;
}

/// A node that the store turns away hears of a configuration from a peer, and starts with the
/// peer's news if it starts then.
#[tokio::test]
async fn a_node_that_the_store_turns_away_hears_from_a_peer() {
    let site = Site::start(0, 1).await;
    let first = site.node("n1").await;
    let busy = MetadataStore::start(StoreState::default()).await.expect("a free port");
    busy.state.set_fault(StoreFault::Busy);
    let second = site.start_node("n2", busy.address(), vec![first.peers]).await;
    site.wait("it starts by its peer", async || site.is_ready(&second).await).await;
    // Again and again, and each time well within the time that a configuration has.
    for version in 2..10 {
        let has_key = version % 2 == 1;
        let keys = if has_key { [KEY] } else { ["another"] };
        site.store.state.put("op/config", configuration(version, &keys, &[]));
        let expected = if has_key { StatusCode::OK } else { StatusCode::UNAUTHORIZED };
        let changed = Instant::now();
        site.wait("the change there, too", async || {
            site.ask(&second, &Call::new("order", "r1")).await.status == expected
        })
        .await;
        let took = changed.elapsed();
        assert!(took < IN_FORCE / 2, "version {version}: {took:?}");
    }
    site.stop(vec![first, second]).await;
    busy.stop().await;
}

/// A store that falls silent to a node looks to it like one without changes until its call times
/// out. The revisions of its peers show the change before.
#[tokio::test]
async fn node_whose_store_falls_silent_follows_a_peer_that_is_ahead() {
    for phase_ms in [0, 700, 1_400] {
        let site = Site::start(0, 1).await;
        let first = site.node("n1").await;
        let link = Link::start(site.store.address()).await.expect("a port is free");
        let second = site.start_node("n2", link.address, vec![first.peers]).await;
        site.wait("the second node is ready", async || site.is_ready(&second).await).await;
        // Both know each other after some datagrams.
        tokio::time::sleep(Duration::from_millis(1_000 + phase_ms)).await;
        link.set(LinkState::Silent);
        tokio::time::sleep(Duration::from_millis(50)).await;
        site.store.state.put("op/config", configuration(2, &["another"], &[]));
        let changed = Instant::now();
        site.wait("the change there, too", async || {
            site.ask(&second, &Call::new("order", "r1")).await.status == StatusCode::UNAUTHORIZED
        })
        .await;
        let took = changed.elapsed();
        assert!(took < IN_FORCE / 2, "phase {phase_ms}: {took:?}");
        site.stop(vec![first, second]).await;
    }
}

/// A store that never has the changes that a node asks for.
#[tokio::test]
async fn store_without_history_is_listed_in_a_loop() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    site.store.state.set_fault(StoreFault::KeepsNoHistory);
    let before = site.store.state.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = site.store.state.calls() - before;
    assert!(calls < 100, "{calls} calls in 2 s");
    site.store.state.put("op/config", configuration(2, &[KEY], &[added_route()]));
    let added = Call::new("added", "r1");
    site.wait("the added route", async || site.ask(&node, &added).await.status == StatusCode::OK)
        .await;
    site.stop(vec![node]).await;
}
