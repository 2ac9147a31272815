//! The calls of the store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use form_urlencoded::parse;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::StoreFault;
use super::StoreState;
use super::state::Event;
use super::state::Inner;
use super::state::Stored;
use crate::net::Body;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::Server;
use crate::net::json_reply;
use crate::net::read_json;
use crate::net::status_reply;

/// How often the store came back from a copy; in all replies.
const ERA_HEADER: &str = "store-era";

/// How long leases last at least.
const TTL_MIN_MS: u64 = 1_000;

/// A running stand-in.
#[derive(Debug)]
pub struct MetadataStore {
    /// Its state, through which tests act as operator and engines.
    pub state: StoreState,
    server: Server,
}

impl MetadataStore {
    /// Serves a state on a free port.
    ///
    /// # Errors
    ///
    /// The cause if no port can be bound.
    pub async fn start(state: StoreState) -> io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let calls = Arc::new(Calls { state: state.clone() });
        Ok(Self { state, server: Server::start(address, calls).await? })
    }

    /// Does the write that was held by [`StoreState::hold_next_write`], if its conditions still hold.
    pub fn do_held_write(&self) {
        let held = self.state.lock().held_write.take();
        held.into_iter().for_each(|txn| drop(apply(&self.state, txn)));
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

#[derive(Debug)]
struct Calls {
    state: StoreState,
}

#[derive(Debug, Deserialize)]
pub(super) struct Txn {
    expect: Vec<Expect>,
    set_keys: Vec<SetKey>,
    remove: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Expect {
    key: String,
    rev: u64,
}

#[derive(Debug, Deserialize)]
struct SetKey {
    key: String,
    value: String,
    lease: u64,
}

#[derive(Deserialize)]
struct Lease {
    ttl_ms: u64,
}

impl Handler for Calls {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (fault, era) = {
            let mut inner = self.state.lock();
            inner.calls += 1;
            (inner.fault, inner.era)
        };
        match fault {
            StoreFault::Busy => {
                let mut reply = status_reply(StatusCode::SERVICE_UNAVAILABLE);
                reply.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
                return Ok(reply);
            }
            StoreFault::Silent => {
                std::future::pending::<()>().await;
            }
            StoreFault::None | StoreFault::LosesAnswers | StoreFault::KeepsNoHistory => {}
        }
        let mut reply = self.answer(request).await?;
        let era = self.state.lock().era;
        reply.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
        match fault {
            StoreFault::LosesAnswers => Err(Cut),
            _ => Ok(reply),
        }
    }
}

impl Calls {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let query: HashMap<String, String> = parse(query.as_bytes()).into_owned().collect();
        let path = request.uri().path().to_owned();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        Ok(match (request.method(), path.as_str()) {
            (&Method::GET, "/-/kv-key") => self.key(&query),
            (&Method::GET, "/-/kv-range") => self.range(&query),
            (&Method::GET, "/-/kv-watch") => self.watch(&query).await,
            (&Method::POST, "/-/kv-txn") => match read_json(request.into_body()).await {
                Ok(txn) => match self.hold(txn) {
                    Some(txn) => apply(&self.state, txn),
                    None => return Err(Cut),
                },
                Err(reply) => *reply,
            },
            (&Method::POST, "/-/kv-lease") => match read_json(request.into_body()).await {
                Ok(Lease { ttl_ms }) => self.grant(ttl_ms),
                Err(reply) => *reply,
            },
            (&Method::POST, path) if path.starts_with("/-/kv-keep/") => self.keep(id),
            (&Method::DELETE, path) if path.starts_with("/-/kv-lease-end/") => {
                let ended = self.state.lock().end_lease(id);
                self.state.changed.notify_waiters();
                status_reply(if ended { StatusCode::OK } else { StatusCode::NOT_FOUND })
            }
            _ => status_reply(StatusCode::NOT_FOUND),
        })
    }

    /// Holds a write that is to be done late; returns any other one.
    fn hold(&self, txn: Txn) -> Option<Txn> {
        let mut inner = self.state.lock();
        let key = inner.held_key.as_deref();
        if !txn.set_keys.iter().any(|set| Some(set.key.as_str()) == key) {
            return Some(txn);
        }
        inner.held_key = None;
        inner.held_write = Some(txn);
        None
    }

    fn key(&self, query: &HashMap<String, String>) -> Response<Body> {
        let inner = self.state.lock();
        let key = query.get("key").cloned().unwrap_or_default();
        match inner.items.get(&key) {
            None => status_reply(StatusCode::NOT_FOUND),
            Some(stored) => {
                let mut item = item(&key, stored);
                item["current_rev"] = json!(inner.rev);
                json_reply(StatusCode::OK, &item)
            }
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> Response<Body> {
        let inner = self.state.lock();
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let items = inner.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        // Small pages, so that every listing has several.
        let mut items: Vec<Value> = items.take(4).map(|(key, stored)| item(key, stored)).collect();
        let truncated = items.len() == 4;
        if truncated {
            items.pop();
        }
        let page = json!({"items": items, "truncated": truncated, "current_rev": inner.rev});
        json_reply(StatusCode::OK, &page)
    }

    async fn watch(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("wait_ms"));
        let ends = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.state.changed.notified();
            let (reply, next_lease_end) = {
                let inner = self.state.lock();
                let is_dropped = inner.fault == StoreFault::KeepsNoHistory;
                if is_dropped || after < inner.history_from || after > inner.rev {
                    return status_reply(StatusCode::GONE);
                }
                // The revision is that of the events: a lease may end between two locks.
                let empty = json!({"events": [], "current_rev": inner.rev});
                let is_over = Instant::now() >= ends;
                (changes(&inner, after).or(is_over.then_some(empty)), inner.next_lease_end())
            };
            if let Some(reply) = reply {
                return json_reply(StatusCode::OK, &reply);
            }
            let wakes = next_lease_end.map_or(ends, |lease_end| lease_end.min(ends));
            let _timed_out = timeout_at(wakes, changed).await.is_err();
        }
    }

    fn grant(&self, ttl_ms: u64) -> Response<Body> {
        let mut inner = self.state.lock();
        let ttl = Duration::from_millis(ttl_ms.max(TTL_MIN_MS));
        let lease = inner.leases.keys().last().copied().unwrap_or(70_000) + 1;
        inner.leases.insert(lease, (ttl, Instant::now() + ttl));
        let granted = json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64});
        json_reply(StatusCode::OK, &granted)
    }

    fn keep(&self, lease: u64) -> Response<Body> {
        let mut inner = self.state.lock();
        match inner.leases.get_mut(&lease) {
            None => status_reply(StatusCode::NOT_FOUND),
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                json_reply(StatusCode::OK, &json!({"ttl_ms": ttl.as_millis() as u64}))
            }
        }
    }
}

/// Applies a transaction if its conditions hold.
fn apply(state: &StoreState, txn: Txn) -> Response<Body> {
    let mut inner = state.lock();
    let holds = txn
        .expect
        .iter()
        .all(|expect| inner.items.get(&expect.key).map_or(0, |stored| stored.rev) == expect.rev);
    if !holds {
        let items = txn.expect.iter().filter_map(|expect| {
            inner.items.get(&expect.key).map(|stored| item(&expect.key, stored))
        });
        let items: Vec<Value> = items.collect();
        return json_reply(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
    }
    let leases = txn.set_keys.iter().map(|set| set.lease).filter(|lease| *lease > 0);
    if leases.into_iter().any(|lease| !inner.leases.contains_key(&lease)) {
        return status_reply(StatusCode::NOT_FOUND);
    }
    for set in txn.set_keys {
        let Ok(value) = STANDARD.decode(&set.value) else {
            return status_reply(StatusCode::BAD_REQUEST);
        };
        inner.put(&set.key, value, set.lease);
    }
    txn.remove.iter().for_each(|key| inner.remove(key));
    let rev = inner.rev;
    drop(inner);
    state.changed.notify_waiters();
    json_reply(StatusCode::OK, &json!({ "rev": rev }))
}

fn changes(inner: &Inner, after: u64) -> Option<Value> {
    let newer = inner.history.iter().filter(|event| event.rev > after);
    let events: Vec<Value> = newer.map(event).collect();
    (!events.is_empty()).then(|| json!({"events": events, "current_rev": inner.rev}))
}

fn event(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => item(&event.key, stored),
        None => json!({"key": event.key, "rev": event.rev, "deleted": true}),
    }
}

fn item(key: &str, stored: &Stored) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&stored.value),
        "rev": stored.rev,
        "created": stored.created,
        "lease": stored.lease,
    })
}
