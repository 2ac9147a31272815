//! Streams that callers take up again while engines of two software versions serve.

use http::StatusCode;

use crate::site::Answer;
use crate::site::Call;
use crate::site::Site;
use crate::site::SiteNode;

/// The events of a whole stream.
const EVENTS: u64 = 6;

/// Lists an engine with a version of its software.
fn list_software(site: &Site, engine: usize, version: &str) {
    let key = format!("servers/e{engine}");
    let entry = site.store.state.get(&key).expect("the engine is listed");
    let mut entry: serde_json::Value = serde_json::from_slice(&entry).expect("entries are JSON");
    entry["version"] = version.into();
    site.store.state.put(&key, entry.to_string());
}

async fn site_of_two_versions() -> Site {
    let site = Site::start(2, 0).await;
    list_software(&site, 1, "v1.1");
    site
}

fn runs(site: &Site) -> usize {
    site.engines.iter().map(|engine| engine.runs()).sum()
}

async fn resume(site: &Site, node: &SiteNode, id: &str, resumes: &'static str) -> Answer {
    let mut call = Call::new("check", id);
    call.headers = vec![("last-event-id", "2"), ("resumes", resumes)];
    site.ask(node, &call).await
}

/// Returns the result code of a refusal that tells the caller not to ask again.
fn refusal_code(answer: &Answer) -> Option<u64> {
    if answer.headers.contains_key("retry-after") {
        return None;
    }
    let body: serde_json::Value = serde_json::from_str(answer.body.as_deref()?).ok()?;
    body["error"]["result_code"].as_u64()
}

#[tokio::test]
async fn stream_of_an_unknown_version_goes_on_anywhere() {
    let site = site_of_two_versions().await;
    let node = site.node("n1").await;
    for resumes in ["never-sent", "", "\"?"] {
        let answer = resume(&site, &node, "r1", resumes).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{resumes}: {answer:?}");
        assert_eq!(refusal_code(&answer), Some(210), "{resumes}: {answer:?}");
    }
    assert_eq!(runs(&site), 0);
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn stream_is_refused_at_another_node_than_began_it() {
    let site = site_of_two_versions().await;
    let nodes = [site.node("n1").await, site.node("n2").await];
    let whole = site.ask(&nodes[0], &Call::new("check", "r1")).await;
    assert_eq!(whole.events(), (1..=EVENTS).collect::<Vec<_>>());
    site.wait("the stream goes on", async || {
        let answer = resume(&site, &nodes[1], "r2", "r1").await;
        answer.status == StatusCode::OK && answer.events() == (3..=EVENTS).collect::<Vec<_>>()
    })
    .await;
    site.stop(nodes.into()).await;
}

#[tokio::test]
async fn stream_goes_on_after_its_version_has_left() {
    let site = site_of_two_versions().await;
    let nodes = [site.node("n1").await, site.node("n2").await];
    site.ask(&nodes[0], &Call::new("check", "r1")).await;
    let began = site.engines.iter().position(|engine| engine.runs() > 0).expect("one ran it");
    list_software(&site, began, "v1.2");
    for node in &nodes {
        site.wait("the version has left", async || {
            refusal_code(&resume(&site, node, "r2", "r1").await) == Some(211)
        })
        .await;
    }
    let before = runs(&site);
    let answer = resume(&site, &nodes[1], "r3", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(runs(&site), before);
    site.stop(nodes.into()).await;
}

#[tokio::test]
async fn stream_of_the_only_version_is_refused() {
    let site = Site::start(2, 0).await;
    let node = site.node("n1").await;
    // The node has just started the record.
    site.wait("the stream goes on", async || {
        resume(&site, &node, "r1", "never-sent").await.status == StatusCode::OK
    })
    .await;
    site.stop(vec![node]).await;
}
