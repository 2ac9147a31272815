//! The answers of the stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use futures::StreamExt;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use super::Behaviour;
use super::SeenRequest;
use super::copies::Copies;
use super::copies::Written;
use crate::metadata_store::StoreState;
use crate::net::Accept;
use crate::net::Body;
use crate::net::Connection;
use crate::net::Connections;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::Server;
use crate::net::full_body;
use crate::net::json_reply;
use crate::net::stream_body;

/// The events of each whole stream.
pub const EVENTS: u64 = 6;

/// The pause between events, and the long one of a slow stand-in.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// The version of its software unless it is started with another one.
const SOFTWARE: &str = "v1";

/// How long new weights take unless it is changed.
const LOAD: Duration = Duration::from_millis(300);

/// How long it runs a request that crashes it, and how long it is down after that.
const CRASH_AFTER: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_millis(1_000);

/// A running stand-in.
#[derive(Debug)]
pub struct SiteUpstream {
    shared: Arc<Shared>,
    server: Server,
    listed: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    name: String,
    // The crashes so far; each start after one has an identity of its own.
    crashes: AtomicUsize,
    // The version of its software, as its entry has it.
    software: Mutex<String>,
    // The Unix time of its last start in milliseconds, once it started again under its identity.
    born: Mutex<Option<u64>>,
    is_down: AtomicBool,
    crash_part: Mutex<Option<String>>,
    connections: Connections,
    service: String,
    store: StoreState,
    behaviour: Mutex<Behaviour>,
    seen: Mutex<Vec<SeenRequest>>,
    orders: Mutex<Vec<serde_json::Value>>,
    version: Mutex<u64>,
    load: Mutex<Duration>,
    is_loading: AtomicBool,
    open_streams: Arc<AtomicUsize>,
    open_requests: Arc<AtomicUsize>,
    // What it says of itself in the heads of its answers.
    signals: Mutex<Vec<(HeaderName, HeaderValue)>>,
    copies: Copies,
}

impl SiteUpstream {
    /// Starts an upstream of a service and lists it in a store.
    ///
    /// # Errors
    ///
    /// The cause if no port can be bound.
    pub async fn start(id: &str, service: &str, store: &StoreState) -> io::Result<Self> {
        Self::start_with_software(id, service, store, SOFTWARE).await
    }

    /// Like [`SiteUpstream::start`] with a version of its software, which its entry and each event of
    /// its streams name.
    ///
    /// # Errors
    ///
    /// The cause if no port can be bound.
    pub async fn start_with_software(
        id: &str,
        service: &str,
        store: &StoreState,
        software: &str,
    ) -> io::Result<Self> {
        let upstream = Self::start_unlisted(id, service, store, software).await?;
        upstream.list("ready");
        Ok(upstream)
    }

    /// Like [`SiteUpstream::start_with_software`], but without an entry.
    ///
    /// # Errors
    ///
    /// The cause if no port can be bound.
    pub async fn start_unlisted(
        id: &str,
        service: &str,
        store: &StoreState,
        software: &str,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: id.to_owned(),
            crashes: AtomicUsize::default(),
            software: Mutex::new(software.to_owned()),
            born: Mutex::default(),
            is_down: AtomicBool::default(),
            crash_part: Mutex::default(),
            connections: Connections::default(),
            service: service.to_owned(),
            store: store.clone(),
            behaviour: Mutex::default(),
            seen: Mutex::default(),
            orders: Mutex::default(),
            version: Mutex::new(1),
            load: Mutex::new(LOAD),
            is_loading: AtomicBool::new(false),
            open_streams: Arc::default(),
            open_requests: Arc::default(),
            signals: Mutex::default(),
            copies: Copies::default(),
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let connections = shared.connections.clone();
        let server = Server::start_with(address, shared.clone(), connections).await?;
        let listed = server.address();
        Ok(Self { shared, server, listed })
    }

    /// Writes its entry with a state.
    pub fn list(&self, state: &str) {
        self.shared.list(self.listed, state);
    }

    /// Does a write of its entry that has a place among the others: its number since a start at this
    /// Unix time in milliseconds.
    pub fn list_numbered(&self, state: &str, started_unix_ms: u64, sequence: u64) {
        let mut entry = self.shared.entry(self.listed, state);
        entry["born"] = json!(started_unix_ms);
        entry["sequence"] = json!(sequence);
        self.shared.store.put(&format!("servers/{}", self.shared.id()), entry.to_string());
    }

    /// Lists it at the address of a proxy from now on.
    pub fn list_at(&mut self, proxy: SocketAddr) {
        self.listed = proxy;
        self.list("ready");
    }

    /// Removes its entry.
    pub fn unlist(&self) {
        self.shared.store.remove(&format!("servers/{}", self.shared.id()));
    }

    /// Starts again under an identity of its own; the old entry is gone.
    pub fn start_again(&self) {
        self.unlist();
        self.shared.crashes.fetch_add(1, Ordering::SeqCst);
        self.list("ready");
    }

    /// Starts again under an identity of its own with another version of its software.
    pub fn replace(&self, software: &str) {
        self.unlist();
        self.shared.crashes.fetch_add(1, Ordering::SeqCst);
        self.install(software);
        self.list("ready");
    }

    /// Starts again under its identity with another version of its software.
    pub fn restart(&self, software: &str) {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now_ms = since_epoch.expect("after the epoch").as_millis() as u64;
        *self.shared.born.lock().expect("no holder panics") = Some(now_ms);
        self.install(software);
        self.list("ready");
    }

    /// Ends all connections; what follows is of this version.
    fn install(&self, software: &str) {
        self.shared.connections.close_all();
        *self.shared.software.lock().expect("no holder panics") = software.to_owned();
    }

    /// Returns the version of its software.
    pub fn software(&self) -> String {
        self.shared.software()
    }

    /// Switches how it answers.
    pub fn set(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("no holder panics") = behaviour;
    }

    /// Adds a header to each of its answers from now on.
    pub fn add_signal(&self, name: &'static str, value: &str) {
        let value = HeaderValue::from_str(value).expect("plain text");
        let mut signals = self.shared.signals.lock().expect("no holder panics");
        signals.push((HeaderName::from_static(name), value));
    }

    /// Adds no headers to its answers any more.
    pub fn clear_signals(&self) {
        self.shared.signals.lock().expect("no holder panics").clear();
    }

    /// Lets it crash under each request whose prompt has this part: the connections of all its
    /// requests end, and after a while it is back under a new identity.
    pub fn crash_on(&self, part: &str) {
        *self.shared.crash_part.lock().expect("no holder panics") = Some(part.to_owned());
    }

    /// Returns how often it crashed.
    pub fn crashes(&self) -> usize {
        self.shared.crashes.load(Ordering::SeqCst)
    }

    /// Returns the requests that arrived.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.shared.seen.lock().expect("no holder panics").clone()
    }

    /// Returns how many requests it ran.
    pub fn runs(&self) -> usize {
        self.seen().iter().filter(|seen| seen.has_run).count()
    }

    /// Returns the orders that it accepted.
    pub fn orders(&self) -> Vec<serde_json::Value> {
        self.shared.orders.lock().expect("no holder panics").clone()
    }

    /// Returns the version of its weights.
    pub fn version(&self) -> u64 {
        *self.shared.version.lock().expect("no holder panics")
    }

    /// Loads a version of the weights at once.
    pub fn load(&self, version: u64) {
        *self.shared.version.lock().expect("no holder panics") = version;
        self.list("ready");
    }

    /// Sets how long new weights take.
    pub fn set_load_time(&self, load: Duration) {
        *self.shared.load.lock().expect("no holder panics") = load;
    }

    /// Returns how many streams it is working on.
    pub fn open_streams(&self) -> usize {
        self.shared.open_streams.load(Ordering::SeqCst)
    }

    /// Returns how many requests it has whose answers did not begin.
    pub fn open_requests(&self) -> usize {
        self.shared.open_requests.load(Ordering::SeqCst)
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops it.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

/// Returns the event after which a stream begins.
fn last_event(seen: &SeenRequest) -> u64 {
    seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0)
}

/// Returns the text of an event.
fn event(id: u64, software: &str) -> String {
    format!("id: {id}\ndata: token{id} {software}\n\n")
}

/// Counts a stream or a request while it is open.
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Shared {
    fn accept(&self) -> Accept {
        if self.is_down.load(Ordering::SeqCst) { Accept::Close } else { Accept::Serve }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let path = request.uri().path().to_owned();
        if path == "/-/report" {
            let orders = self.orders.lock().expect("no holder panics").len();
            let busy = self.is_loading.load(Ordering::SeqCst);
            let version = *self.version.lock().expect("no holder panics");
            let models = json!([{"name": "m", "version": version, "adapters": []}]);
            let report = json!({"stage": "colocated", "models": models, "busy": busy,
                "sequence": orders});
            return Ok(json_reply(StatusCode::OK, &report));
        }
        if path == "/health" {
            let mut reply = json_reply(StatusCode::OK, &json!({}));
            let id = HeaderValue::from_str(&self.id()).expect("plain text");
            reply.headers_mut().insert("x-instance-id", id);
            return Ok(reply);
        }
        if path == "/-/order" {
            return Ok(self.order(request).await);
        }
        if self.crashes_on(&request) {
            return Err(self.crash(request).await);
        }
        let _open = OpenCount::new(&self.open_requests);
        self.answer(request).await
    }
}

impl Shared {
    fn id(&self) -> String {
        match self.crashes.load(Ordering::SeqCst) {
            0 => self.name.clone(),
            crashes => format!("{}.{crashes}", self.name),
        }
    }

    fn software(&self) -> String {
        self.software.lock().expect("no holder panics").clone()
    }

    fn crashes_on(&self, request: &Request<Incoming>) -> bool {
        let crash_part = self.crash_part.lock().expect("no holder panics");
        let prefix = request.headers().get("x-prompt-prefix");
        let prefix = prefix.and_then(|prefix| prefix.to_str().ok()).unwrap_or_default();
        let mut parts = prefix.split(',').filter_map(|part| part.split_once(':'));
        crash_part.as_ref().is_some_and(|crash| parts.any(|(id, _)| id == crash))
    }

    async fn crash(self: Arc<Self>, request: Request<Incoming>) -> Cut {
        let (parts, _) = request.into_parts();
        let seen = SeenRequest {
            method: parts.method,
            target: parts.uri.to_string(),
            headers: parts.headers,
            body: Bytes::new(),
            has_run: true,
            arrived: Instant::now(),
        };
        self.seen.lock().expect("no holder panics").push(seen);
        tokio::time::sleep(CRASH_AFTER).await;
        if self.is_down.swap(true, Ordering::SeqCst) {
            return Cut;
        }
        let entry = format!("servers/{}", self.id());
        let listed = self.store.get(&entry).unwrap_or_default();
        let listed: serde_json::Value = serde_json::from_slice(&listed).unwrap_or_default();
        let address = listed["address"].as_str().and_then(|address| address.parse().ok());
        let shared = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DOWN).await;
            shared.store.remove(&entry);
            shared.crashes.fetch_add(1, Ordering::SeqCst);
            if let Some(address) = address {
                shared.list(address, "ready");
            }
            shared.is_down.store(false, Ordering::SeqCst);
        });
        self.connections.close_all();
        Cut
    }

    fn list(&self, address: SocketAddr, state: &str) {
        let entry = self.entry(address, state);
        self.store.put(&format!("servers/{}", self.id()), entry.to_string());
    }

    fn entry(&self, address: SocketAddr, state: &str) -> serde_json::Value {
        let version = *self.version.lock().expect("no holder panics");
        let mut entry = json!({
            "service": self.service, "address": address.to_string(), "zone": "a",
            "version": self.software(), "slots": 8, "state": state, "cold_left_ms": 0,
            "models": [{"name": "m", "version": version, "adapters": []}], "sequence": 1,
        });
        if let Some(born) = *self.born.lock().expect("no holder panics") {
            entry["born"] = json!(born);
        }
        entry
    }

    async fn order(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let body = request.into_body().collect().await.map(|body| body.to_bytes());
        let order: serde_json::Value =
            body.ok().and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
        let accepted = {
            let mut orders = self.orders.lock().expect("no holder panics");
            let expected = order["expect"].as_u64();
            let holds = expected.is_none_or(|expected| expected == orders.len() as u64)
                && !self.is_loading.load(Ordering::SeqCst);
            if holds {
                orders.push(order.clone());
                self.is_loading.store(true, Ordering::SeqCst);
            }
            holds
        };
        if !accepted {
            return json_reply(StatusCode::CONFLICT, &json!({}));
        }
        let version = order["version"].as_u64().unwrap_or(0);
        let listed = self.store.get(&format!("servers/{}", self.id())).unwrap_or_default();
        let listed: serde_json::Value = serde_json::from_slice(&listed).unwrap_or_default();
        let address = listed["address"].as_str().and_then(|address| address.parse().ok());
        let load = *self.load.lock().expect("no holder panics");
        tokio::spawn(async move {
            tokio::time::sleep(load).await;
            *self.version.lock().expect("no holder panics") = version;
            self.is_loading.store(false, Ordering::SeqCst);
            if let Some(address) = address {
                self.list(address, "ready");
            }
        });
        json_reply(StatusCode::ACCEPTED, &json!({}))
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let behaviour = *self.behaviour.lock().expect("no holder panics");
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        let version = self.version.lock().expect("no holder panics").to_string();
        let is_meant = parts.headers.get("x-expect-instance").is_none_or(|id| id == &self.id())
            && parts.headers.get("x-expect-version").is_none_or(|known| known == &version);
        let connection = parts.extensions.get::<Connection>().map_or(0, Connection::number);
        let runs = match behaviour {
            Behaviour::Sheds | Behaviour::IsAnother => false,
            Behaviour::CopiesRefusals => self.copies.is_due(connection),
            _ => true,
        };
        let has_run = is_meant && runs;
        let seen = SeenRequest {
            method: parts.method,
            target: parts.uri.to_string(),
            headers: parts.headers,
            body,
            has_run,
            arrived: Instant::now(),
        };
        self.seen.lock().expect("no holder panics").push(seen.clone());
        if !is_meant || behaviour == Behaviour::IsAnother {
            return Ok(self.reply(StatusCode::MISDIRECTED_REQUEST, &seen, full_body("")));
        }
        match behaviour {
            Behaviour::DropsAnswer => return Err(Cut),
            Behaviour::IsMute => std::future::pending::<()>().await,
            Behaviour::Sheds => {
                let mut reply = self.reply(StatusCode::SERVICE_UNAVAILABLE, &seen, full_body(""));
                reply.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
                return Ok(reply);
            }
            Behaviour::WritesError if seen.header("last-event-id").is_some() => {
                let text = "HTTP/1.1 500 Internal Server Error\r\n\r\n{\"error\":\"none\"}\n\n";
                return Ok(self.signed(StatusCode::OK, &seen, full_body(text)));
            }
            Behaviour::RepeatsRefusal | Behaviour::RepeatsMisdirection => {
                let status = match behaviour {
                    Behaviour::RepeatsRefusal => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::MISDIRECTED_REQUEST,
                };
                let mut reply = self.reply(status, &seen, full_body(""));
                let headers = reply.headers_mut();
                headers.insert("x-not-executed", HeaderValue::from_static("1"));
                headers.insert("x-request-id", HeaderValue::from_static("earlier"));
                return Ok(reply);
            }
            Behaviour::CopiesRefusals | Behaviour::CopiesAnswers => {
                let written = self.whole_answer(&seen);
                return Ok(self.copies.exchange(connection, written).into());
            }
            Behaviour::Fails => {
                let body = full_body("failed");
                return Ok(self.signed(StatusCode::INTERNAL_SERVER_ERROR, &seen, body));
            }
            Behaviour::FailsBusy => {
                return Ok(self.signed(StatusCode::SERVICE_UNAVAILABLE, &seen, full_body("busy")));
            }
            _ => {}
        }
        let body = match seen.header("x-model") {
            Some(_) => self.events(&seen, behaviour),
            None if behaviour == Behaviour::BreaksOff => {
                stream_body(futures::stream::iter([Ok(Bytes::from("half")), Err(Cut)]))
            }
            None => full_body(format!("answer of {}", self.id())),
        };
        let mut reply = match behaviour {
            Behaviour::DoesNotSign => self.reply(StatusCode::OK, &seen, body),
            _ => self.signed(StatusCode::OK, &seen, body),
        };
        if matches!(behaviour, Behaviour::CutsUnframed | Behaviour::EndsUnframed) {
            // The server sends no chunks with this version.
            *reply.version_mut() = Version::HTTP_10;
        }
        if behaviour == Behaviour::CrossesAnswers {
            reply.headers_mut().insert("x-request-id", HeaderValue::from_static("another"));
        }
        if behaviour == Behaviour::Recodes {
            reply.headers_mut().insert("content-encoding", HeaderValue::from_static("gzip"));
        }
        Ok(reply)
    }

    /// Returns a whole answer, or the refusal of a request that was not run.
    fn whole_answer(&self, seen: &SeenRequest) -> Written {
        let (status, body) = match seen.header("x-model") {
            _ if !seen.has_run => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            Some(_) => {
                let (after, software) = (last_event(seen), self.software());
                let events = (after + 1..=EVENTS).map(|id| event(id, &software));
                (StatusCode::OK, events.collect())
            }
            None => (StatusCode::OK, format!("answer of {}", self.id())),
        };
        let mut headers = self.signed(status, seen, full_body("")).into_parts().0.headers;
        if !seen.has_run {
            headers.remove("x-server-stamp");
            headers.insert("x-not-executed", HeaderValue::from_static("1"));
        }
        Written { status, headers, body: body.into() }
    }

    fn events(&self, seen: &SeenRequest, behaviour: Behaviour) -> Body {
        let last = last_event(seen);
        let until = match behaviour {
            Behaviour::CutsUnframed => last + 2,
            Behaviour::EndsUnframed => last,
            _ => EVENTS,
        };
        let software: Arc<str> = self.software().into();
        let ids = futures::stream::iter(last + 1..=until).zip(futures::stream::repeat(software));
        let pieces = ids.then(move |(id, software)| async move {
            let is_second = id == last + 2;
            let pauses = is_second && behaviour == Behaviour::IsSlow;
            tokio::time::sleep(if pauses { LONG_PAUSE } else { EVENT_PAUSE }).await;
            let part = Ok(Bytes::from(format!("id: {id}\nda")));
            match behaviour {
                Behaviour::BreaksOff if is_second => vec![part, Err(Cut)],
                Behaviour::CutsUnframed if is_second => vec![part],
                _ => vec![Ok(Bytes::from(event(id, &software)))],
            }
        });
        // The counter lives as long as the stream.
        let guard = OpenCount::new(&self.open_streams);
        let counted = pieces.flat_map(futures::stream::iter).map(move |piece| {
            let _guard = &guard;
            piece
        });
        stream_body(counted)
    }

    fn signed(&self, status: StatusCode, seen: &SeenRequest, body: Body) -> Response<Body> {
        let mut reply = self.reply(status, seen, body);
        let stamp = HeaderValue::from_str(&format!("stamp-{}", self.id())).expect("plain text");
        reply.headers_mut().insert("x-server-stamp", stamp);
        reply
    }

    fn reply(&self, status: StatusCode, seen: &SeenRequest, body: Body) -> Response<Body> {
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        let headers = reply.headers_mut();
        if let Some(id) = seen.headers.get("x-request-id") {
            headers.insert("x-request-id", id.clone());
        }
        headers.insert("x-server-load", HeaderValue::from_static("1,0,8"));
        for (name, value) in self.signals.lock().expect("no holder panics").iter() {
            headers.append(name.clone(), value.clone());
        }
        reply
    }
}
