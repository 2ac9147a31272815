//! A simulated upstream that records its runs and injects faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::test_driver::Fault;
use crate::test_driver::Step;
use crate::test_driver::TestDriver;

/// Delay of a late response; longer than the service's timeout.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(400);

/// One execution of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Run {
    /// The request line, to distinguish orders from unrelated requests.
    pub line: String,
    pub key: String,
    pub account: String,
    pub request_id: String,
    pub body: String,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    outcomes: BTreeMap<(String, String), String>,
    highest: BTreeMap<(String, String), u64>,
}

/// The upstream. Clones share the state.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub address: SocketAddr,
    checks_fencing: bool,
    test_driver: TestDriver,
    state: Arc<Mutex<State>>,
    /// Set before a response is written.
    responded: Arc<AtomicBool>,
}

#[derive(Debug)]
struct Request {
    line: String,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Request {
    fn header(&self, name: &str) -> String {
        self.headers.get(name).cloned().unwrap_or_default()
    }

    /// Returns whether the request is a call of another test's router to a previous user of this
    /// port. Requests with a key or an account, or to the path of orders, are never unrelated.
    fn is_unrelated(&self) -> bool {
        let is_marked = ["idempotency-key", "x-client-account"]
            .iter()
            .any(|name| self.headers.contains_key(*name));
        !is_marked && (self.line.starts_with("GET /load ") || self.line.starts_with("POST /v3/"))
    }
}

impl Upstream {
    pub async fn start(
        test_driver: TestDriver,
        checks_fencing: bool,
        responded: Arc<AtomicBool>,
    ) -> (Self, JoinHandle<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("listener is bound");
        let state = Arc::default();
        let upstream = Self { address, checks_fencing, test_driver, state, responded };
        let server = upstream.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        (upstream, task)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("no thread panics while holding the lock").runs.clone()
    }

    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        self.test_driver.step_reached(Step::Send);
        if self.test_driver.active() == Some(Fault::UpstreamRefuses) {
            return None;
        }
        let request = read_request(&mut stream).await?;
        if request.is_unrelated() {
            return write_not_found(&mut stream).await;
        }
        let id = request.header("x-request-id");
        let mut response = match self.test_driver.active() {
            Some(Fault::UpstreamCuts) => return None,
            Some(Fault::UpstreamSilent) => std::future::pending().await,
            Some(Fault::UpstreamMalformed) => return write_malformed_response(&mut stream).await,
            Some(Fault::UpstreamFenced) => fenced(9, &id),
            Some(Fault::UpstreamLate) => {
                tokio::time::sleep(LATE_RESPONSE_DELAY).await;
                self.run(&request)
            }
            _ => self.run(&request),
        };
        self.test_driver.step_reached(Step::Headers);
        match self.test_driver.active() {
            Some(Fault::UpstreamRefuses | Fault::UpstreamCuts) => return None,
            Some(Fault::UpstreamSilent) => std::future::pending().await,
            Some(Fault::UpstreamMalformed) => return write_malformed_response(&mut stream).await,
            Some(Fault::UpstreamLate) => tokio::time::sleep(LATE_RESPONSE_DELAY).await,
            Some(Fault::UpstreamFenced) => response = fenced(9, &id),
            Some(Fault::UpstreamMismatched) => response = response.replace(&id, "req-another"),
            _ => {}
        }
        self.responded.store(true, Ordering::SeqCst);
        let (head, body) = response.split_at(response.len() - response.len().min(5));
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.flush().await.ok()?;
        self.test_driver.step_reached(Step::Body);
        match self.test_driver.active() {
            Some(Fault::UpstreamRefuses | Fault::UpstreamCuts | Fault::UpstreamMalformed) => {
                return None;
            }
            Some(Fault::UpstreamSilent) => std::future::pending().await,
            Some(Fault::UpstreamLate) => tokio::time::sleep(LATE_RESPONSE_DELAY).await,
            _ => {}
        }
        stream.write_all(body.as_bytes()).await.ok()
    }

    fn run(&self, request: &Request) -> String {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        let account = request.header("x-client-account");
        let key = request.header("idempotency-key");
        let id = request.header("x-request-id");
        let order_key = (account.clone(), key.clone());
        if self.checks_fencing {
            let number = request.header("x-fencing-number").parse().unwrap_or(0);
            let highest = state.highest.entry(order_key.clone()).or_default();
            if number < *highest {
                return fenced(*highest, &id);
            }
            *highest = number;
            if let Some(outcome) = state.outcomes.get(&order_key) {
                return created(outcome, &id);
            }
        }
        let body = request.body.clone();
        let outcome = format!("done {key} for {account}: {body}");
        let line = request.line.clone();
        state.runs.push(Run { line, key, account, request_id: id.clone(), body });
        state.outcomes.insert(order_key, outcome.clone());
        created(&outcome, &id)
    }
}

fn created(body: &str, id: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\nx-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn fenced(number: u64, id: &str) -> String {
    format!(
        "HTTP/1.1 409 Conflict\r\nx-fencing-number: {number}\r\nx-request-id: {id}\r\ncontent-length: 6\r\n\r\nfenced"
    )
}

async fn write_not_found(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await.ok()
}

async fn write_malformed_response(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(b"\x00\xff not http at all\r\n\r\n").await.ok()
}

async fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut data = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let count = stream.read(&mut piece).await.ok().filter(|count| *count > 0)?;
        data.extend_from_slice(&piece[..count]);
        if let Some(request) = parse_request(&data) {
            return Some(request);
        }
    }
}

fn parse_request(data: &[u8]) -> Option<Request> {
    let text = String::from_utf8_lossy(data);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let lines = head.lines().skip(1);
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let line = head.lines().next().unwrap_or_default().to_owned();
    (body.len() >= length).then(|| Request { line, body: body[..length].to_owned(), headers })
}
