//! Copies of an answer that arrive where the next one is expected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::site::Call;
use crate::site::Site;

// What follows a bar is held until the entry of the upstream is replaced.
const REFUSAL: &str = "|503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTION: &str = "|421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
const FAILURE: &str = "500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfail|ed";
const ANSWER: &str = "200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const CUT_STREAM: &str = "200 OK\r\ncontent-length: 23\r\n\r\nid: 1\ndata: a\n\n|id: 2\nda";
const REST: &str = "200 OK\r\ncontent-length: 15\r\n\r\nid: 2\ndata: b\n\n";

/// How long a change of the list may take to reach the node.
const LISTED_AFTER: Duration = Duration::from_millis(400);

/// How an upstream answers: the first request of all by `first`, others by `later`.
/// Before an answer on a connection it sends another copy of the one before.
#[derive(Clone, Copy)]
struct Script {
    first: &'static str,
    later: &'static str,
}

struct RepeatingUpstream {
    address: SocketAddr,
    seen: Arc<AtomicUsize>,
    may_answer: Arc<Semaphore>,
    task: JoinHandle<()>,
}

impl RepeatingUpstream {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let seen = Arc::new(AtomicUsize::default());
        let may_answer = Arc::new(Semaphore::new(0));
        let (count, permits) = (seen.clone(), may_answer.clone());
        let task = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, script, count.clone(), permits.clone()));
            }
        });
        Self { address, seen, may_answer, task }
    }

    fn seen(&self) -> usize {
        self.seen.load(Ordering::SeqCst)
    }

    /// Writes its entry, with the time of its start if the upstream tells it.
    fn list(&self, site: &Site, id: &str, service: &str, started_unix_ms: Option<u64>) {
        let models = match service {
            "llm" => json!([{"name": "m", "version": 1, "adapters": []}]),
            _ => json!([]),
        };
        let mut entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "models": models, "sequence": 1,
        });
        if let Some(started_unix_ms) = started_unix_ms {
            entry["born"] = json!(started_unix_ms);
        }
        site.store.state.put(&format!("servers/{id}"), entry.to_string());
    }
}

async fn serve(
    mut socket: TcpStream,
    script: Script,
    seen: Arc<AtomicUsize>,
    may_answer: Arc<Semaphore>,
) {
    let mut last = Vec::new();
    while let Some(request) = read_request(&mut socket).await {
        if request.starts_with("GET ") {
            let report = r#"{"sequence":0,"busy":false,"models":[]}"#;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", report.len());
            let _ = socket.write_all(format!("{head}{report}").as_bytes()).await;
            continue;
        }
        let answer = match seen.fetch_add(1, Ordering::SeqCst) {
            0 => script.first,
            _ => script.later,
        };
        let id = request.lines().find_map(|line| line.strip_prefix("x-request-id: "));
        let id = id.unwrap_or_default();
        let (status, rest) = answer.split_once("\r\n").expect("a head");
        let status = status.trim_start_matches('|');
        let head = format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-server-stamp: s\r\n");
        let _ = socket.write_all(&last).await;
        last = format!("{head}{}", rest.replace('|', "")).into_bytes();
        let held_bytes = answer.split_once('|').map_or(0, |(_, held)| held.len());
        let sent = last.len() - held_bytes;
        let _ = socket.write_all(&last[..sent]).await;
        if held_bytes > 0 {
            let _permit = may_answer.acquire().await.expect("never closed");
        }
        let _ = socket.write_all(&last[sent..]).await;
    }
}

async fn read_request(socket: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut piece = [0; 4_096];
    loop {
        match socket.read(&mut piece).await {
            Ok(len) if len > 0 => request.extend_from_slice(&piece[..len]),
            _ => return None,
        }
        let is_get = request.starts_with(b"GET ");
        // The body of the tests' requests is `body`.
        let end: &[u8] = if is_get { b"\r\n\r\n" } else { b"\r\n\r\nbody" };
        if request.ends_with(end) {
            return Some(String::from_utf8_lossy(&request).into_owned());
        }
    }
}

/// How the entry of the upstream is replaced while it has the request.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    Relisted,
    LaterStart,
    AnotherIdentity,
}

const REPLACEMENTS: [Replacement; 3] =
    [Replacement::Relisted, Replacement::LaterStart, Replacement::AnotherIdentity];

/// The status and the body that the caller gets, and the requests that the upstream got. Its entry is
/// replaced while it has the first one.
async fn ask_over_replacement(
    route: &'static str,
    script: Script,
    replacement: Replacement,
) -> (StatusCode, Option<String>, usize) {
    let site = Site::start(0, 0).await;
    let upstream = RepeatingUpstream::start(script).await;
    let service = if route == "check" { "llm" } else { "shop" };
    upstream.list(&site, "u0", service, None);
    let node = site.node("n1").await;
    let call = Call::new(route, "r1");
    let replace = async {
        site.wait("the request arrives", async || upstream.seen() == 1).await;
        match replacement {
            Replacement::Relisted => {
                site.store.state.remove("servers/u0");
                tokio::time::sleep(LISTED_AFTER).await;
                upstream.list(&site, "u0", service, None);
            }
            Replacement::LaterStart => upstream.list(&site, "u0", service, Some(2_000)),
            Replacement::AnotherIdentity => {
                site.store.state.remove("servers/u0");
                upstream.list(&site, "u1", service, Some(2_000));
            }
        }
        tokio::time::sleep(LISTED_AFTER).await;
        upstream.may_answer.add_permits(1);
    };
    let (answer, ()) = tokio::join!(site.ask(&node, &call), replace);
    let seen = upstream.seen();
    upstream.task.abort();
    site.stop(vec![node]).await;
    (answer.status, answer.body, seen)
}

/// The order runs, but a copy of its refusal is taken for the answer of the second send.
#[tokio::test]
async fn copy_of_a_refusal_answers_the_next_send_of_its_request() {
    for first in [REFUSAL, MISDIRECTION] {
        let script = Script { first, later: ANSWER };
        for replacement in REPLACEMENTS {
            let (status, body, seen) = ask_over_replacement("order", script, replacement).await;
            assert_eq!(seen, 2, "{first} {replacement:?}: sent again");
            let got = (status, body.as_deref());
            assert_eq!(got, (StatusCode::OK, Some("whole")), "{first} {replacement:?}: it ran");
        }
    }
}

/// A copy of a failed answer hides the whole one.
#[tokio::test]
async fn copy_of_a_failure_answers_the_next_send_of_its_request() {
    for replacement in REPLACEMENTS {
        let script = Script { first: FAILURE, later: ANSWER };
        let (status, body, seen) = ask_over_replacement("look", script, replacement).await;
        assert_eq!(seen, 2, "{replacement:?}: sent again");
        let got = (status, body.as_deref());
        assert_eq!(got, (StatusCode::OK, Some("whole")), "{replacement:?}");
    }
}

/// A stream that is resumed gets the copy of its first part instead of the rest.
#[tokio::test]
async fn copy_of_a_stream_answers_its_resumption() {
    for replacement in REPLACEMENTS {
        let script = Script { first: CUT_STREAM, later: REST };
        let (status, body, seen) = ask_over_replacement("check", script, replacement).await;
        assert_eq!(seen, 2, "{replacement:?}: resumed");
        let got = (status, body.as_deref());
        let whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        assert_eq!(got, (StatusCode::OK, Some(whole)), "{replacement:?}");
    }
}
