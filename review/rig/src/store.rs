//! A sound stand-in of the platform's store: linearizable, loses nothing, keeps 20 s of history.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::net::Caller;
use crate::net::Message;
use crate::net::Server;

const HISTORY: Duration = Duration::from_secs(20);
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(Instant, String, u64, Option<Item>)>,
    history_from: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    // Watches that began before the last cut are closed without an answer.
    cuts: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((Instant::now(), key.to_owned(), self.rev, Some(item)));
        self.rev
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((Instant::now(), key.to_owned(), self.rev, None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| {
            self.end_lease(lease);
        });
        let old = self.history.iter().take_while(|(at, ..)| now - *at > HISTORY).count();
        if old > 0 {
            self.history_from = self.history[old - 1].2;
            self.history.drain(..old);
        }
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub server: Server,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        {
            let mut first = state.0.lock().unwrap();
            first.rev = 400;
            first.history_from = 400;
            first.last_lease = 77_000;
        }
        let own = state.clone();
        let server = Server::start(Arc::new(move |request: Message, caller: &mut Caller| {
            answer(&own, &request, caller)
        }));
        Self { state, server }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        state
    }

    /// Writes as the operator or an engine does.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let rev = self.lock().put(key, base64(value.to_string().as_bytes()), 0);
        self.state.1.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.state.1.notify_all();
    }

    /// Cuts the watches that wait now.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.state.1.notify_all();
    }
}

fn answer(shared: &(Mutex<State>, Condvar), request: &Message, caller: &mut Caller) -> bool {
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let query = parse_query(query);
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let last = path.rsplit('/').next().unwrap_or("").parse::<u64>().unwrap_or(0);
    let mut reply = |status: &str, body: Value| {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        caller.answer(status, &[("content-type", "application/json")], body.as_bytes())
    };
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    let mut state = shared.0.lock().unwrap();
    state.expire();
    match (request.method(), path) {
        ("GET", "/-/kv-key") => {
            let key = text("key");
            let Some(item) = state.items.get(&key) else {
                return reply("404 Not Found", Value::Null);
            };
            let mut shown = show(&key, item);
            shown["current_rev"] = json!(state.rev);
            reply("200 OK", shown)
        }
        ("GET", "/-/kv-range") => {
            let (prefix, after) = (text("prefix"), text("after"));
            let wanted = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
            let mut items: Vec<Value> =
                wanted.take(PAGE + 1).map(|(key, item)| show(key, item)).collect();
            let truncated = items.len() > PAGE;
            items.truncate(PAGE);
            let page = json!({"items": items, "truncated": truncated, "current_rev": state.rev});
            reply("200 OK", page)
        }
        ("GET", "/-/kv-watch") => {
            let (prefix, after) = (text("prefix"), number("after"));
            let ends = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
            let cuts = state.cuts;
            loop {
                if state.cuts != cuts {
                    return false;
                }
                if after < state.history_from {
                    return reply("410 Gone", Value::Null);
                }
                let newer = state
                    .history
                    .iter()
                    .filter(|(_, key, rev, _)| *rev > after && key.starts_with(&prefix));
                let events: Vec<Value> = newer
                    .map(|(_, key, rev, item)| match item {
                        Some(item) => show(key, item),
                        None => json!({"key": key, "rev": rev, "deleted": true}),
                    })
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= ends {
                    return reply("200 OK", json!({"events": events, "current_rev": state.rev}));
                }
                let wait = (ends - now).min(Duration::from_millis(50));
                state = shared.1.wait_timeout(state, wait).unwrap().0;
                state.expire();
            }
        }
        ("POST", "/-/kv-txn") => {
            let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
            let key_of = |row: &Value| row["key"].as_str().unwrap_or("").to_owned();
            let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
            let removed: Vec<String> =
                rows("remove").iter().filter_map(|key| key.as_str().map(str::to_owned)).collect();
            let written = rows("set_keys");
            if written.iter().any(|row| is_foreign(&key_of(row)))
                || removed.iter().any(|key| is_foreign(key))
            {
                return reply("403 Forbidden", Value::Null);
            }
            let expected = rows("expect");
            let holds = expected.iter().all(|row| {
                let rev = state.items.get(&key_of(row)).map_or(0, |item| item.rev);
                Some(rev) == row["rev"].as_u64()
            });
            if !holds {
                let known = expected.iter().filter_map(|row| {
                    let key = key_of(row);
                    state.items.get(&key).map(|item| show(&key, item))
                });
                let items: Vec<Value> = known.collect();
                return reply("412 Precondition Failed", json!({ "items": items }));
            }
            let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
            if written.iter().any(|r| lease_of(r) > 0 && !state.leases.contains_key(&lease_of(r))) {
                return reply("404 Not Found", Value::Null);
            }
            for row in &written {
                let value = row["value"].as_str().unwrap_or("").to_owned();
                state.put(&key_of(row), value, lease_of(row));
            }
            removed.iter().for_each(|key| state.remove(key));
            shared.1.notify_all();
            reply("200 OK", json!({"rev": state.rev}))
        }
        ("POST", "/-/kv-lease") => {
            let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0).max(1_000));
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            reply("200 OK", json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64}))
        }
        ("POST", path) if path.starts_with("/-/kv-keep/") => match state.leases.get_mut(&last) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                let ttl_ms = ttl.as_millis() as u64;
                reply("200 OK", json!({ "ttl_ms": ttl_ms }))
            }
            None => reply("404 Not Found", Value::Null),
        },
        ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
            let status = if state.end_lease(last) { "200 OK" } else { "404 Not Found" };
            shared.1.notify_all();
            reply(status, Value::Null)
        }
        _ => reply("404 Not Found", Value::Null),
    }
}

fn show(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "rev": item.rev, "created": item.created,
           "lease": item.lease})
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
                continue;
            }
            (b'+', _) => plain.push(b' '),
            (byte, _) => plain.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = (number >> (18 - 6 * place)) as usize & 63;
            text.push(if place <= group.len() { DIGITS[digit] as char } else { '=' });
        }
    }
    text
}
