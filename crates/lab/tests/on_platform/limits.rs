//! Engines in need, which name a limit for the requests of all nodes together.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::site::Call;
use crate::site::Site;
use crate::site::SiteNode;
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
