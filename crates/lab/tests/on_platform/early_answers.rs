//! Answers that are sent while the request is still being written, and answers without a status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::SiteNode;

/// Near the limit of the configuration, so that the upstream's buffers don't take all of it.
const UPLOAD_BYTES: usize = 96 << 10;

/// As in a network: with the segments of the loopback device the node's system takes whole uploads.
const SEGMENT_BYTES: u32 = 1_000;

/// What an upstream does with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    /// Sends a part of an answer without length and resets the connection.
    ResetsEarly { after_ms: u64 },
    /// Sends a part of an answer without length, ends the connection in order and reads nothing.
    EndsEarly,
    /// Reads the request and gives a whole answer with the status 000.
    AnswersWithoutStatus,
}

async fn answer(mut socket: TcpStream, fault: Fault, asked: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    let mut piece = [0; 1_024];
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match socket.read(&mut piece).await {
            Ok(len) if len > 0 => request.extend_from_slice(&piece[..len]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&request).into_owned();
    if head.starts_with("GET ") {
        let report = r#"{"sequence":0,"busy":false,"models":[]}"#;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", report.len());
        let _ = socket.write_all(format!("{head}{report}").as_bytes()).await;
        return;
    }
    asked.fetch_add(1, Ordering::Relaxed);
    let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: "));
    let signed = format!("x-request-id: {}\r\nx-server-stamp: s\r\n", id.unwrap_or_default());
    let body = "id: 1\ndata: a\n\n";
    let early = format!("HTTP/1.1 200 OK\r\n{signed}\r\n{body}");
    match fault {
        Fault::ResetsEarly { after_ms } => {
            let _ = socket.write_all(early.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            socket.set_zero_linger().expect("an open socket");
        }
        Fault::EndsEarly => {
            let _ = socket.write_all(early.as_bytes()).await;
            let _ = socket.shutdown().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        Fault::AnswersWithoutStatus => {
            let mut rest = request.len();
            while rest < UPLOAD_BYTES {
                match socket.read(&mut piece).await {
                    Ok(len) if len > 0 => rest += len,
                    _ => break,
                }
            }
            let length = body.len();
            let whole = format!("HTTP/1.1 000\r\n{signed}content-length: {length}\r\n\r\n{body}");
            let _ = socket.write_all(whole.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Starts an upstream whose buffers are small, so that requests are still being written.
fn start_upstream(fault: Fault, asked: &Arc<AtomicUsize>) -> (SocketAddr, JoinHandle<()>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("an option");
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).expect("an option");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener: TcpListener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("a bound socket");
    let asked = asked.clone();
    let task = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer(socket, fault, asked.clone()));
        }
    });
    (address, task)
}

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
async fn passed_on(fault: Fault, route: &'static str, is_chunked: bool) -> Option<String> {
    let site = Site::start(0, 0).await;
    let asked = Arc::<AtomicUsize>::default();
    let (address, task) = start_upstream(fault, &asked);
    let (service, models) = match is_stream(route) {
        true => ("llm", json!([{"name": "m", "version": 1, "adapters": []}])),
        false => ("shop", json!([])),
    };
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "models": models, "sequence": 1,
    });
    site.store.state.put("servers/u0", entry.to_string());
    let node = site.node("n1").await;
    let (answer, is_whole) = upload(&node, route, is_chunked).await;
    task.abort();
    site.stop(vec![node]).await;
    let name = format!("{fault:?} {route} chunked={is_chunked}");
    assert!(asked.load(Ordering::Relaxed) > 0, "{name}: no upstream was asked: {answer}");
    let is_failure =
        ["502", "504"].iter().any(|status| answer.starts_with(&format!("HTTP/1.1 {status}")));
    let is_part = answer.starts_with("HTTP/1.1 200") && !is_whole;
    (!is_failure && !is_part).then(|| format!("{name}: {answer}"))
}

/// The caller must not get the part, or the answer without a status, as a complete answer.
#[tokio::test]
async fn early_or_impossible_answer_looks_complete() {
    let faults = [
        Fault::ResetsEarly { after_ms: 0 },
        Fault::ResetsEarly { after_ms: 30 },
        Fault::EndsEarly,
        Fault::AnswersWithoutStatus,
    ];
    for fault in faults {
        let routes = ["look", "order", "draft", "check"];
        let cases = routes.into_iter().flat_map(|route| [(route, false), (route, true)]);
        let answers = cases.map(|(route, is_chunked)| passed_on(fault, route, is_chunked));
        let passed_on: Vec<_> = join_all(answers).await.into_iter().flatten().collect();
        assert!(passed_on.is_empty(), "{passed_on:#?}");
    }
}
