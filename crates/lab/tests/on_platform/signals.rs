//! Engines that say of themselves that they are limited, leave, or want a pause.

use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::site::Call;
use crate::site::Site;
use crate::site::SiteNode;
use redwingrill_lab::site_upstream::Behaviour;
use redwingrill_lab::site_upstream::SiteUpstream;

/// The window in which requests count against a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// How long after the first naming of a limit it must be kept.
const IN_FORCE_AFTER: Duration = Duration::from_secs(1);

/// Sends short prompts to the nodes by turns, one each `pause`, for a time. Returns how many were
/// served.
async fn load(site: &Site, nodes: &[SiteNode], pause: Duration, lasts: Duration) -> usize {
    let started = Instant::now();
    let mut calls = Vec::new();
    let mut n = 0;
    while started.elapsed() < lasts {
        let call = Call::new("check", &format!("{n}-{}", started.elapsed().as_micros()));
        let (pool, callers) = (site.pool.clone(), nodes[n as usize % nodes.len()].callers);
        calls.push(tokio::spawn(async move { Site::ask_at(&pool, callers, &call).await }));
        n += 1;
        sleep_until(started + pause * n).await;
    }
    let answers = futures::future::join_all(calls).await;
    let statuses = answers.into_iter().filter_map(|answer| Some(answer.ok()??.status));
    statuses.filter(|status| status.is_success()).count()
}

/// Returns the most requests that an engine got in a window after a moment.
fn largest_window(engine: &SiteUpstream, after: Instant) -> usize {
    let arrivals: Vec<Instant> = engine.seen().iter().map(|seen| seen.arrived).collect();
    let ends = arrivals.iter().filter(|end| **end > after + WINDOW);
    ends.map(|end| arrivals.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count())
        .max()
        .unwrap_or(0)
}

#[tokio::test]
async fn engine_gets_more_requests_than_the_limit_it_names() {
    let limit_per_s = 4;
    let site = Site::start(3, 0).await;
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push(site.node(name).await);
    }
    load(&site, &nodes, Duration::from_millis(20), Duration::from_secs(1)).await;
    let busiest = site.engines.iter().max_by_key(|engine| engine.seen().len());
    let limited = busiest.expect("the site has engines");
    limited.add_signal("server-limit", &format!("{limit_per_s}.0"));
    let named = Instant::now();
    let lasts = IN_FORCE_AFTER + 2 * WINDOW;
    let served = load(&site, &nodes, Duration::from_millis(20), lasts).await;

    let window = largest_window(limited, named + IN_FORCE_AFTER);
    let (allowed, expected) = (6 * limit_per_s + 5, 16 * limit_per_s / 5);
    assert!(window <= allowed, "{window} requests in 4 s, {allowed} allowed");
    assert!(window >= expected, "only {window} requests in 4 s of {expected}");
    assert!(served >= 400, "{served} served");

    // A malformed header does not end the limit.
    limited.clear_signals();
    limited.add_signal("server-limit", "many");
    let garbled = Instant::now();
    load(&site, &nodes, Duration::from_millis(20), Duration::from_secs(2)).await;
    let requests = requests_after(limited, garbled);
    assert!(requests <= 2 * limit_per_s + 5, "{requests} in 2 s after a malformed header");

    // Once its answers do not name a limit any more, it gets as much as the others.
    limited.clear_signals();
    load(&site, &nodes, Duration::from_millis(20), Duration::from_secs(2)).await;
    let before = limited.seen().len();
    load(&site, &nodes, Duration::from_millis(20), Duration::from_secs(2)).await;
    let requests = limited.seen().len() - before;
    assert!(requests >= 20, "{requests} of 100 requests after the limit ended");
    sleep(Duration::from_millis(100)).await;
    site.stop(nodes).await;
}

/// Returns the requests that an upstream got after a moment.
fn requests_after(upstream: &SiteUpstream, after: Instant) -> usize {
    upstream.seen().iter().filter(|seen| seen.arrived > after).count()
}

/// Waits until an upstream has answered a request after a moment.
async fn answered_after(site: &Site, upstream: &SiteUpstream, after: Instant) {
    site.wait("an answer", async || requests_after(upstream, after) > 0).await;
    sleep(Duration::from_millis(150)).await;
}

/// The engine's entry in the store goes on to say that it is ready.
#[tokio::test]
async fn engine_that_says_that_it_leaves_gets_new_requests() {
    let site = Site::start(3, 0).await;
    let nodes = [site.node("n1").await];
    load(&site, &nodes, Duration::from_millis(20), Duration::from_millis(500)).await;
    let busiest = site.engines.iter().max_by_key(|engine| engine.seen().len());
    let leaving = busiest.expect("the site has engines");
    leaving.add_signal("server-leaving", "1");
    let told = Instant::now();
    let pause = Duration::from_millis(20);
    load(&site, &nodes, pause, Duration::from_millis(500)).await;
    answered_after(&site, leaving, told).await;

    let since = Instant::now();
    load(&site, &nodes, pause, Duration::from_secs(1)).await;
    assert_eq!(requests_after(leaving, since), 0);
    // Neither its silence nor the store takes it back.
    leaving.clear_signals();
    leaving.unlist();
    sleep(Duration::from_millis(300)).await;
    leaving.list("ready");
    sleep(Duration::from_millis(300)).await;
    let served = load(&site, &nodes, pause, Duration::from_secs(1)).await;
    assert_eq!(requests_after(leaving, since), 0);
    assert!(served >= 45, "{served} of 50 served");
    site.stop(nodes.into()).await;
}

#[tokio::test]
async fn upstream_gets_requests_before_the_pause_that_it_asked_for_is_over() {
    for behaviour in [Behaviour::Sheds, Behaviour::FailsBusy] {
        let site = Site::start(3, 0).await;
        let nodes = [site.node("n1").await];
        let load_pause = Duration::from_millis(20);
        load(&site, &nodes, load_pause, Duration::from_millis(500)).await;
        let busiest = site.engines.iter().max_by_key(|engine| engine.seen().len());
        let paused = busiest.expect("the site has engines");
        paused.add_signal("retry-after", "2.5");
        paused.set(behaviour);
        let since = Instant::now();
        load(&site, &nodes, load_pause, Duration::from_millis(400)).await;
        answered_after(&site, paused, since).await;
        paused.set(Behaviour::Serves);
        paused.clear_signals();

        let from = since + Duration::from_millis(900);
        let lasts = since + Duration::from_millis(2_300) - Instant::now();
        let served = load(&site, &nodes, load_pause, lasts).await;
        let requests = requests_after(paused, from);
        assert!(requests <= 2, "{behaviour:?}: {requests} requests during the pause");
        assert!(served >= 60, "{behaviour:?}: {served} served by the others");
        // It gets requests again, and has not been taken for ill.
        let after = Instant::now();
        load(&site, &nodes, load_pause, Duration::from_secs(2)).await;
        let requests = requests_after(paused, after);
        assert!(requests >= 15, "{behaviour:?}: {requests} requests after the pause");
        site.stop(nodes.into()).await;
    }
}

/// All engines of a service pause: what would wait in vain is refused at once.
#[tokio::test]
async fn requests_wait_in_vain_while_all_engines_pause() {
    let site = Site::start(3, 0).await;
    let nodes = [site.node("n1").await];
    for engine in &site.engines {
        engine.add_signal("retry-after", "4");
        engine.set(Behaviour::Sheds);
    }
    load(&site, &nodes, Duration::from_millis(50), Duration::from_secs(1)).await;
    let asked = Instant::now();
    let answer = site.ask(&nodes[0], &Call::new("check", "late")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(asked.elapsed() < Duration::from_millis(100), "{:?}", asked.elapsed());
    let retry_after = answer.headers.get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after_s: f64 = retry_after.and_then(|text| text.parse().ok()).unwrap_or_default();
    assert!((2.0..8.0).contains(&retry_after_s), "{retry_after_s}");
    site.stop(nodes.into()).await;
}
