//! Planned stops cut no request.

use std::time::Duration;

use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::Call;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use redwingrill_lab::site_upstream::Behaviour;

#[tokio::test]
async fn a_stop_ends_open_requests_and_says_not_ready_first() {
    let site = Site::start(1, 1).await;
    let node = site.node("n1").await;
    let (callers, readiness, peers) = (node.callers, node.readiness, node.peers);
    let open = site.send(&node, &Call::new("draft", "r1")).await;
    let draining = tokio::spawn(async move { node.node.drain().await.finish().await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    // It goes on to answer until the balancer has noticed, and asks callers to close.
    let pool = redwingrill_transport::Pool::new();
    let timeouts = redwingrill_transport::Timeouts {
        connect: Duration::from_secs(1),
        head: Duration::from_secs(1),
    };
    let ask = async |address| {
        let mut request = http::Request::new(bytes::Bytes::new());
        *request.uri_mut() = "/-/ready".parse().expect("a path");
        let fresh = redwingrill_transport::Freshness::New;
        pool.send(address, request, fresh, &timeouts).await
    };
    let ready = ask(readiness).await.expect("it still answers");
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
    let refused = ask(callers).await.expect("it still accepts");
    assert_eq!(refused.headers().get("connection").map(|v| v.as_bytes()), Some(&b"close"[..]));
    let body = open.into_body().read_all(1 << 20, Duration::from_secs(3)).await;
    assert!(body.is_ok_and(|body| body.ends_with(b"data: token6 v1\n\n")));
    assert!(draining.await.expect("the drain ends"), "no work was cut");
    assert!(ask(callers).await.is_err(), "it has ended");
    assert!(tokio::net::TcpStream::connect(peers).await.is_err());
    site.stop(Vec::new()).await;
}

#[tokio::test]
async fn a_stop_does_not_wait_beyond_its_limit() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    site.shops[0].set(Behaviour::IsMute);
    let asked = tokio::time::Instant::now();
    let answer = site.ask(&node, &Call::new("order", "r1")).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    node.node.drain().await.finish().await;
    assert!(asked.elapsed() < Duration::from_secs(7));
    site.stop(Vec::new()).await;
}

/// A long prompt that waits for room when its node stops is refused, truly not run, so that another
/// node can serve it; it is not kept until the node ends.
#[tokio::test]
async fn what_waits_at_a_node_that_stops_is_told_to_come_back() {
    let site = Site::start(1, 0).await;
    let node = site.node("n1").await;
    site.engines[0].set(Behaviour::IsMute);
    // The engine has eight slots; the ninth request waits.
    let mut calls = tokio::task::JoinSet::new();
    let (callers, pool) = (node.callers, site.pool.clone());
    for n in 0..9 {
        let pool = pool.clone();
        calls.spawn(async move {
            Site::ask_at(&pool, callers, &Call::new("slow", &format!("r{n}"))).await
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.engines[0].seen().len(), 8, "one waits");
    let stopping = tokio::spawn(async move { node.node.drain().await.finish().await });
    let mut refused = Vec::new();
    while let Some(answer) = calls.join_next().await {
        // The engine never answers, so the requests at it are cut at the end of the stop.
        let answer = answer.expect("the call ends");
        refused.extend(answer.filter(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE));
    }
    stopping.await.expect("the stop ends");
    assert_eq!(refused.len(), 1);
    assert!(refused[0].headers.contains_key("retry-after"));
    assert_eq!(site.engines[0].seen().len(), 8, "it was not run");
    site.stop(Vec::new()).await;
}

/// A request whose head is complete only late in a stop. There may be no time left to answer it, so
/// it is refused and not passed on. On a silent connection it is not even read.
#[tokio::test]
async fn request_that_comes_late_in_a_stop_is_passed_on_and_cut() {
    for written_before in [0, 20] {
        let site = Site::start(0, 1).await;
        let node = site.node("n1").await;
        let mut caller = TcpStream::connect(node.callers).await.expect("the node listens");
        let request = format!(
            "POST /order/ HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r2\r\n\
             authorization: Token {KEY}\r\ncontent-length: 4\r\n\r\nbody",
        );
        let (before, after) = request.as_bytes().split_at(written_before);
        caller.write_all(before).await.expect("the node reads");
        // The node has read it before it stops.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let draining = node.node.drain().await;
        // The node may close a silent connection, so both may fail.
        let written = caller.write_all(after).await;
        let mut answer = Vec::new();
        let read = caller.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
        let is_closed = written_before == 0 && answer.is_empty();
        assert!(is_refused || is_closed, "{written:?} {read:?} {answer}");
        assert!(site.shops[0].seen().is_empty(), "the late request is not passed on");
        draining.finish().await;
        site.stop(Vec::new()).await;
    }
}

/// A request that no upstream answers before the end of the stop still gets an answer.
#[tokio::test]
async fn open_request_is_cut_without_an_answer_at_the_end_of_a_stop() {
    let site = Site::start(1, 0).await;
    let node = site.node("n1").await;
    site.engines[0].set(Behaviour::IsMute);
    let (pool, callers) = (site.pool.clone(), node.callers);
    let open =
        tokio::spawn(async move { Site::ask_at(&pool, callers, &Call::new("slow", "r1")).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    node.node.drain().await.finish().await;
    let answer = open.await.expect("the call ends").expect("the node answers");
    // It may have run, so no status that promises otherwise.
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    site.stop(Vec::new()).await;
}
