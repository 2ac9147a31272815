//! Cached prompt parts of isolated accounts stay apart, however the configuration changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::json;

use crate::site::Call;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;
use crate::site::added_route;
use crate::site::configuration;
use redwingrill_lab::site_upstream::Behaviour;

/// The slots of an engine.
const SLOTS: usize = 8;

/// The key of the account `stall`; that of `cafe` is [`KEY`].
const STALL_KEY: &str = "key-of-stall";

/// An account and whether it is isolated.
type Account = (&'static str, &'static str, bool);

const CAFE: Account = ("cafe", KEY, false);
const ISOLATED_CAFE: Account = ("cafe", KEY, true);
const STALL: Account = ("stall", STALL_KEY, false);
const ISOLATED_STALL: Account = ("stall", STALL_KEY, true);

/// Writes a configuration with these accounts, and a route of its own for [`wait_in_force`].
fn configure(site: &Site, version: u64, accounts: &[Account]) {
    let mut route = added_route();
    route["prefix"] = json!(format!("/added/{version}/"));
    let text = configuration(version, &[], &[route]);
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("a configuration");
    let tenants = accounts.iter().map(|(name, key, is_isolated)| {
        json!({"name": name, "api_keys": [key], "isolated": is_isolated})
    });
    value["tenants"] = tenants.collect();
    site.store.state.put("op/config", value.to_string());
}

async fn wait_in_force(site: &Site, node: &SiteNode, version: u64, key: &'static str) {
    let route: &'static str = Box::leak(format!("added/{version}").into_boxed_str());
    let call = Call { key: Some(key), ..Call::new(route, "probe") };
    site.wait(&format!("configuration {version}"), async || {
        site.ask(node, &call).await.status.is_success()
    })
    .await;
}

fn call(id: &str, key: &'static str) -> Call {
    Call { key: Some(key), ..Call::new("draft", id) }
}

/// Returns the scope in which the only engine ran a request.
fn scope_of(site: &Site, id: &str) -> String {
    let seen = site.engines[0].seen();
    let request = seen.iter().find(|seen| seen.header("x-request-id") == Some(id));
    let request = request.unwrap_or_else(|| panic!("{id} did not arrive"));
    request.header("x-cache-salt").expect("a scope").to_owned()
}

/// Guards against an account that reads under a scope in which another one has ever written, while
/// one of the two is isolated.
#[tokio::test]
async fn account_reads_what_an_isolated_one_cached_before() {
    let steps: &[&[Account]] = &[
        &[CAFE, STALL],
        &[ISOLATED_CAFE, STALL],
        &[CAFE, STALL],
        &[ISOLATED_CAFE, STALL],
        &[ISOLATED_CAFE, ISOLATED_STALL],
        &[CAFE, ISOLATED_STALL],
        &[ISOLATED_STALL],
        &[ISOLATED_CAFE, STALL],
    ];
    let site = Site::start(1, 1).await;
    let mut nodes = vec![site.node("n1").await];
    let mut written: Vec<(&str, String)> = Vec::new();
    for (step, accounts) in steps.iter().enumerate() {
        let version = step as u64 + 2;
        configure(&site, version, accounts);
        // A node that starts afresh names the scopes as the others do.
        nodes.push(site.node(&format!("n{version}")).await);
        let mut scopes: BTreeSet<(&str, String)> = BTreeSet::new();
        for (number, node) in nodes.iter().enumerate() {
            wait_in_force(&site, node, version, accounts[0].1).await;
            for (name, key, _) in *accounts {
                let id = format!("{name}-{step}-{number}");
                site.ask(node, &call(&id, key)).await;
                scopes.insert((name, scope_of(&site, &id)));
            }
        }
        assert_eq!(scopes.len(), accounts.len(), "nodes differ: {scopes:?}");
        written.extend(scopes.iter().cloned());
        for (name, _, is_isolated) in *accounts {
            let isolated = accounts.iter().filter(|account| account.2);
            let isolated: Vec<&str> = isolated.map(|account| account.0).collect();
            let read = &scopes.iter().find(|(reader, _)| reader == name).expect("a scope").1;
            let foreign = written.iter().find(|(writer, scope)| {
                scope == read && writer != name && (*is_isolated || isolated.contains(writer))
            });
            assert_eq!(foreign, None, "step {step}: {name} reads {read}");
        }
    }
    site.stop(nodes).await;
}

/// Guards against a request that waits over a change of isolation and then reads under the scope of
/// before.
#[tokio::test]
async fn waiting_request_reads_under_the_scope_of_before() {
    let site = Arc::new(Site::start(1, 1).await);
    configure(&site, 2, &[CAFE, STALL]);
    let node = Arc::new(site.node("n1").await);
    wait_in_force(&site, &node, 2, KEY).await;
    site.engines[0].set(Behaviour::IsMute);
    let ask = |id: String, key| {
        let (site, node) = (site.clone(), node.clone());
        let call = Call { route: "slow", ..call(&id, key) };
        tokio::spawn(async move { drop(site.ask(&node, &call).await) })
    };
    let running: Vec<_> = (0..SLOTS).map(|n| ask(format!("running-{n}"), KEY)).collect();
    site.wait("the engine is full", async || site.engines[0].seen().len() == SLOTS).await;
    let waiting = ask("waiting".to_owned(), STALL_KEY);
    configure(&site, 3, &[ISOLATED_CAFE, STALL]);
    wait_in_force(&site, &node, 3, KEY).await;
    assert_eq!(site.engines[0].seen().len(), SLOTS, "the request waits");
    site.engines[0].set(Behaviour::Serves);
    running.iter().for_each(|running| running.abort());
    site.wait("the request is sent", async || site.engines[0].seen().len() > SLOTS).await;
    site.ask(&node, &call("later", STALL_KEY)).await;
    assert_ne!(scope_of(&site, "waiting"), scope_of(&site, "running-0"));
    assert_eq!(scope_of(&site, "waiting"), scope_of(&site, "later"));
    waiting.abort();
    drop(waiting.await);
    for running in running {
        drop(running.await);
    }
    let node = Arc::into_inner(node).expect("no other holder");
    Arc::into_inner(site).expect("no other holder").stop(vec![node]).await;
}
