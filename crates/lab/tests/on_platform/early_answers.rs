//! Answers that are sent while the request is still being written, and answers without a status.

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;
use redwingrill_lab::early_upstream::EarlyFault;
use redwingrill_lab::early_upstream::EarlyUpstream;
use redwingrill_lab::early_upstream::UPLOAD_BYTES;

/// Sends an upload, with a length or in chunks, and returns all that the caller gets.
async fn upload(node: &SiteNode, route: &str, is_chunked: bool) -> (String, bool) {
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {UPLOAD_BYTES}"),
    };
    let prompt = match is_stream(route) {
        true => "x-model: m\r\nx-token-count: 100,10\r\nx-prompt-prefix: 1:100\r\n",
        false => "",
    };
    let head = format!(
        "POST /{route}/ HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\nauthorization: Token {KEY}\r\n\
         x-deadline-ms: 1500\r\n{prompt}\
         connection: close\r\n{framing}\r\n\r\n",
    );
    let mut caller = TcpStream::connect(node.callers).await.expect("the node listens");
    caller.write_all(head.as_bytes()).await.expect("the node reads");
    let pieces = vec![b'u'; UPLOAD_BYTES];
    for piece in pieces.chunks(8 << 10) {
        if is_chunked {
            let size = format!("{:x}\r\n", piece.len());
            caller.write_all(size.as_bytes()).await.expect("the node reads");
        }
        caller.write_all(piece).await.expect("the node reads");
        if is_chunked {
            caller.write_all(b"\r\n").await.expect("the node reads");
        }
    }
    if is_chunked {
        caller.write_all(b"0\r\n\r\n").await.expect("the node reads");
    }
    let mut answer = Vec::new();
    let ended = caller.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    // The node sends either a length or chunks to a caller with HTTP/1.1.
    let is_whole = match answer.contains("transfer-encoding: chunked") {
        true => answer.ends_with("0\r\n\r\n"),
        false => true,
    };
    (answer, ended.is_ok() && is_whole)
}

fn is_stream(route: &str) -> bool {
    matches!(route, "draft" | "check")
}

/// Returns what the caller got, if it may take it for an answer.
async fn passed_on(fault: EarlyFault, route: &'static str, is_chunked: bool) -> Option<String> {
    let site = Site::start(0, 0).await;
    let upstream = EarlyUpstream::start(fault).expect("a free port");
    let (service, models) = match is_stream(route) {
        true => ("llm", json!([{"name": "m", "version": 1, "adapters": []}])),
        false => ("shop", json!([])),
    };
    let entry = json!({
        "service": service, "address": upstream.address().to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "models": models, "sequence": 1,
    });
    site.store.state.put("servers/u0", entry.to_string());
    let node = site.node("n1").await;
    let (answer, is_whole) = upload(&node, route, is_chunked).await;
    site.stop(vec![node]).await;
    let name = format!("{fault:?} {route} chunked={is_chunked}");
    assert!(upstream.asked() > 0, "{name}: no upstream was asked: {answer}");
    let is_failure =
        ["502", "504"].iter().any(|status| answer.starts_with(&format!("HTTP/1.1 {status}")));
    let is_part = answer.starts_with("HTTP/1.1 200") && !is_whole;
    (!is_failure && !is_part).then(|| format!("{name}: {answer}"))
}

/// The caller must not get the part, or the answer without a status, as a complete answer.
#[tokio::test]
async fn early_or_impossible_answer_looks_complete() {
    let faults = [
        EarlyFault::Resets { after: Duration::ZERO },
        EarlyFault::Resets { after: Duration::from_millis(30) },
        EarlyFault::Ends,
        EarlyFault::AnswersWithoutStatus,
    ];
    for fault in faults {
        let routes = ["look", "order", "draft", "check"];
        let cases = routes.into_iter().flat_map(|route| [(route, false), (route, true)]);
        let answers = cases.map(|(route, is_chunked)| passed_on(fault, route, is_chunked));
        let passed_on: Vec<_> = join_all(answers).await.into_iter().flatten().collect();
        assert!(passed_on.is_empty(), "{passed_on:#?}");
    }
}
