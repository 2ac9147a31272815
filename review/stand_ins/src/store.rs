//! The platform's metadata store: items with revisions, a watch, transactions and leases.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Request;

struct Stored {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Inner {
    items: BTreeMap<String, Stored>,
    // Revision, key, and the item as JSON; `None` if it was removed.
    history: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, Lease>,
    rev: u64,
    next_lease: u64,
    // How often the watches that wait were cut.
    cuts: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Inner>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = http::listen([127, 0, 0, 1])?;
        let inner = Inner { rev: 100, next_lease: 70_000, ..Inner::default() };
        let address = listener.local_addr()?;
        let store = Self { shared: Arc::new((Mutex::new(inner), Condvar::new())), address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticker.end_leases();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.0.lock().expect("no holder panics")
    }

    /// Writes an item as the operator or an engine.
    pub fn put(&self, key: &str, value: &Value) {
        self.lock().put(key, value.to_string().into_bytes(), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    /// Cuts the watches that wait now: their connections close without an answer.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.shared.1.notify_all();
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn end_leases(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            inner.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        if ended.is_empty() {
            return;
        }
        ended.into_iter().for_each(|id| {
            inner.end_lease(id);
        });
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let Some((status, body)) = self.answer(&request) else { return };
            let body = if body.is_null() { String::new() } else { body.to_string() };
            let headers = [("content-type", "application/json")];
            if http::write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` if its connection is to close instead.
    fn answer(&self, request: &Request) -> Option<(u16, Value)> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let path = request.path();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        Some(match (request.method(), path) {
            ("GET", "/-/kv-key") => self.key(&request.query("key").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => return self.watch(request),
            ("POST", "/-/kv-txn") => self.txn(&body),
            ("POST", "/-/kv-lease") => {
                let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut inner = self.lock();
                inner.next_lease += 1;
                let lease = inner.next_lease;
                inner.leases.insert(lease, Lease { ttl, ends: Instant::now() + ttl });
                (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                match self.lock().leases.get_mut(&id) {
                    None => (404, Value::Null),
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, json!({"ttl_ms": lease.ttl.as_millis() as u64}))
                    }
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let is_known = self.lock().end_lease(id);
                self.shared.1.notify_all();
                (if is_known { 200 } else { 404 }, Value::Null)
            }
            _ => (404, Value::Null),
        })
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let inner = self.lock();
        match inner.items.get(key) {
            None => (404, Value::Null),
            Some(stored) => {
                let mut item = item_json(key, stored);
                item["current_rev"] = json!(inner.rev);
                (200, item)
            }
        }
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let (prefix, after) =
            (request.query("prefix").unwrap_or_default(), request.query("after").unwrap_or_default());
        let inner = self.lock();
        let items = inner.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<Value> = items.map(|(key, stored)| item_json(key, stored)).collect();
        (200, json!({"items": items, "truncated": false, "current_rev": inner.rev}))
    }

    fn watch(&self, request: &Request) -> Option<(u16, Value)> {
        let number =
            |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (prefix, after) = (request.query("prefix").unwrap_or_default(), number("after"));
        let ends = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut inner = self.lock();
        let cuts = inner.cuts;
        loop {
            if inner.cuts != cuts {
                return None;
            }
            let newer = inner.history.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<Value> = newer
                .map(|(rev, key, item)| {
                    item.clone().unwrap_or_else(|| json!({"key": key, "rev": rev, "deleted": true}))
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends {
                return Some((200, json!({"events": events, "current_rev": inner.rev})));
            }
            inner = self.shared.1.wait_timeout(inner, ends - now).expect("no holder panics").0;
        }
    }

    fn txn(&self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut inner = self.lock();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let holds = rows("expect").iter().all(|row| {
            let rev = inner.items.get(&text(row, "key")).map_or(0, |stored| stored.rev);
            rev == row["rev"].as_u64().unwrap_or(0)
        });
        if !holds {
            let rows = rows("expect");
            let items = rows.iter().filter_map(|row| {
                let key = text(row, "key");
                inner.items.get(&key).map(|stored| item_json(&key, stored))
            });
            return (412, json!({"items": items.collect::<Vec<Value>>()}));
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let is_gone = |row: &Value| lease_of(row) > 0 && !inner.leases.contains_key(&lease_of(row));
        if rows("set_keys").iter().any(is_gone) {
            return (404, Value::Null);
        }
        for row in rows("set_keys") {
            let value = base64_decode(row["value"].as_str().unwrap_or_default());
            inner.put(&text(&row, "key"), value, lease_of(&row));
        }
        for key in rows("remove") {
            inner.remove(key.as_str().unwrap_or_default());
        }
        let rev = inner.rev;
        drop(inner);
        self.shared.1.notify_all();
        (200, json!({"rev": rev}))
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.rev += 1;
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |stored| stored.created);
        let stored = Stored { value, rev, created, lease };
        self.history.push((rev, key.to_owned(), Some(item_json(key, &stored))));
        self.items.insert(key.to_owned(), stored);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let is_known = self.leases.remove(&id).is_some();
        let under = self.items.iter().filter(|(_, stored)| stored.lease == id && id > 0);
        let keys: Vec<String> = under.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        is_known
    }
}

fn item_json(key: &str, stored: &Stored) -> Value {
    json!({"key": key, "value": base64_encode(&stored.value), "rev": stored.rev,
        "created": stored.created, "lease": stored.lease})
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}

fn base64_decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| ALPHABET.iter().position(|known| *known == byte));
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in digits {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
