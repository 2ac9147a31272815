//! Quotas of accounts over several nodes.

use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::site::Answer;
use crate::site::Call;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;
use crate::site::configuration;
use redwingrill_lab::site_upstream::Behaviour;

/// The tokens that each prompt of the tests declares.
const REQUEST_TOKENS: u64 = 1_540;

/// How long the buckets of a new fleet take to be ready and full.
const WARM_UP: Duration = Duration::from_secs(5);

/// Starts nodes and limits the account to some requests per second and at once.
async fn limited_site(requests_per_s: u64, burst_requests: u64) -> (Site, Vec<SiteNode>) {
    let site = Site::start(3, 0).await;
    let text = configuration(2, &[KEY], &[]);
    let mut limited: Value = serde_json::from_str(&text).expect("JSON");
    let account = &mut limited["tenants"][0];
    account["rate_per_s"] = (requests_per_s * REQUEST_TOKENS).into();
    account["burst"] = (burst_requests * REQUEST_TOKENS).into();
    account["unit"] = "token_stream".into();
    site.store.state.put("op/config", limited.to_string());
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push(site.node(name).await);
    }
    sleep(WARM_UP).await;
    (site, nodes)
}

/// Sends requests to the nodes by turns, one each `pause`. Returns the answers.
async fn load(
    site: &Site,
    nodes: &[SiteNode],
    route: &'static str,
    count: u32,
    pause: Duration,
) -> Vec<Answer> {
    let started = Instant::now();
    let mut calls = Vec::new();
    for n in 0..count {
        let call = Call::new(route, &format!("{route}-{n}-{}", started.elapsed().as_micros()));
        let (pool, callers) = (site.pool.clone(), nodes[n as usize % nodes.len()].callers);
        calls.push(tokio::spawn(async move { Site::ask_at(&pool, callers, &call).await }));
        sleep_until(started + pause * (n + 1)).await;
    }
    let answers = futures::future::join_all(calls).await;
    answers.into_iter().filter_map(|answer| answer.ok()?).collect()
}

fn count(answers: &[Answer], status: StatusCode) -> usize {
    answers.iter().filter(|answer| answer.status == status).count()
}

/// Guards against a limit that each node applies by itself, and against refusals of requests that
/// run all the same.
#[tokio::test]
async fn account_gets_its_rate_over_all_nodes() {
    let (site, nodes) = limited_site(10, 10).await;
    let answers = load(&site, &nodes, "check", 600, Duration::from_millis(10)).await;
    let served = count(&answers, StatusCode::OK);
    let refused = count(&answers, StatusCode::TOO_MANY_REQUESTS);
    // The rate of 6 s and the burst, with the tolerance.
    assert!((49..=77).contains(&served), "{served} served of 70");
    assert!(served + refused >= 595, "{served} served, {refused} refused");
    let ran: usize = site.engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(ran, served);
    for answer in answers.iter().filter(|a| a.status == StatusCode::TOO_MANY_REQUESTS) {
        let delay = answer.headers.get("retry-after").and_then(|value| value.to_str().ok());
        let delay_s: f64 = delay.and_then(|text| text.parse().ok()).unwrap_or_default();
        assert!((0.01..3.0).contains(&delay_s), "{delay_s}");
        assert!(answer.body.as_deref().is_some_and(|body| body.contains(r#""ran":"no""#)));
    }
    site.stop(nodes).await;
}

/// Guards against a quota that is used up by requests that did not run, and against refunds of
/// requests that may have run.
#[tokio::test]
async fn only_requests_that_did_not_run_are_refunded() {
    let (site, nodes) = limited_site(2, 10).await;
    let pause = Duration::from_millis(50);
    site.engines.iter().for_each(|engine| engine.set(Behaviour::Sheds));
    // More than the burst and the rate, but no more than what may be refunded, too.
    let answers = load(&site, &nodes, "draft", 16, pause).await;
    assert_eq!(count(&answers, StatusCode::TOO_MANY_REQUESTS), 0, "refunded requests count");
    assert_eq!(count(&answers, StatusCode::OK), 0);

    site.engines.iter().for_each(|engine| engine.set(Behaviour::Fails));
    sleep(Duration::from_secs(1)).await;
    let answers = load(&site, &nodes, "draft", 40, pause).await;
    let refused = count(&answers, StatusCode::TOO_MANY_REQUESTS);
    let failed: usize = site
        .engines
        .iter()
        .map(|engine| engine.seen().iter().filter(|seen| seen.has_run).count())
        .sum();
    // 10 at once, and 2 in each of some 2 s.
    assert!(failed <= 16, "{failed} ran");
    assert!(refused >= 20, "{refused} refused");
    site.stop(nodes).await;
}
