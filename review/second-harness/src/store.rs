//! A stand-in of the platform's metadata store, by the pages: items with revisions, leases, pages,
//! watches and transactions. It is sound, but for what a case switches on.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Message;
use crate::http::read_request;
use crate::http::response;
use crate::record::Record;

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    rev: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    record: Record,
    /// Its address.
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on a free loopback port.
    pub fn start(record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let inner = Inner { rev: 400, next_lease: 77_000, ..Inner::default() };
        let store = Self { inner: Arc::new((Mutex::new(inner), Condvar::new())), record, address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key, as the operator or an engine does. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &Value) {
        let mut inner = self.inner.0.lock().expect("no holder panics");
        inner.put(key, value.to_string().into_bytes(), 0);
        self.inner.1.notify_all();
    }

    /// Removes a key, as the platform does.
    pub fn remove(&self, key: &str) {
        let mut inner = self.inner.0.lock().expect("no holder panics");
        inner.remove(key);
        self.inner.1.notify_all();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        let inner = self.inner.0.lock().expect("no holder panics");
        inner.items.get(key).and_then(|item| serde_json::from_slice(&item.value).ok())
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.0.lock().expect("no holder panics");
        inner.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn expire(&self) {
        let mut inner = self.inner.0.lock().expect("no holder panics");
        let now = Instant::now();
        let ended = inner.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            inner.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.inner.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            // An answer takes 4 ms by the sheets.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if writer.write_all(&response(status, &headers, body.to_string().as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call.
    fn answer(&self, request: &Message) -> (u16, Value) {
        let (lock, changed) = &*self.inner;
        let method = request.first.first().map_or("", String::as_str);
        let path = request.path();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let mut inner = lock.lock().expect("no holder panics");
        match (method, path) {
            ("GET", "/-/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                match inner.items.get(&key) {
                    Some(item) => {
                        let mut found = item_json(&key, item);
                        found["current_rev"] = inner.rev.into();
                        (200, found)
                    }
                    None => (404, json!({"current_rev": inner.rev})),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let found = inner.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || key.as_str() > after.as_str())
                });
                let found: Vec<Value> =
                    found.take(PAGE_ITEMS + 1).map(|(key, item)| item_json(key, item)).collect();
                let truncated = found.len() > PAGE_ITEMS;
                let items = &found[..found.len().min(PAGE_ITEMS)];
                let page =
                    json!({"items": items, "truncated": truncated, "current_rev": inner.rev});
                (200, page)
            }
            ("GET", "/-/kv-watch") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let number = |name| request.query(name).and_then(|t| t.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let until = Instant::now() + wait;
                loop {
                    let news = inner
                        .history
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
                    let events: Vec<Value> = news
                        .map(|(rev, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => json!({"key": key, "rev": rev, "deleted": true}),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        break (200, json!({"events": events, "current_rev": inner.rev}));
                    }
                    inner = changed.wait_timeout(inner, left).expect("no holder panics").0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let answer = inner.transact(&body, &self.record);
                changed.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(0).clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                inner.next_lease += 1;
                let lease = inner.next_lease;
                inner.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match inner.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, json!({"ttl_ms": ttl.as_millis() as u64}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                let is_known = inner.end_lease(lease);
                changed.notify_all();
                (if is_known { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({})),
        }
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    fn transact(&mut self, body: &Value, record: &Record) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("expect");
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let is_met = expected.iter().all(|row| {
            let rev = self.items.get(&key_of(row)).map_or(0, |item| item.rev);
            row["rev"].as_u64() == Some(rev)
        });
        if !is_met {
            let known = expected.iter().filter_map(|row| {
                let key = key_of(row);
                self.items.get(&key).map(|item| item_json(&key, item))
            });
            return (412, json!({"items": known.collect::<Vec<_>>()}));
        }
        for row in rows("set_keys") {
            let lease = row["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, json!({}));
            }
        }
        for row in rows("set_keys") {
            let value = decode_base64(row["value"].as_str().unwrap_or_default());
            let lease = row["lease"].as_u64().unwrap_or(0);
            record.line(format!(
                "store: wrote {} {}",
                key_of(&row),
                String::from_utf8_lossy(&value)
            ));
            self.put(&key_of(&row), value, lease);
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({"rev": self.rev}))
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": encode_base64(&item.value), "rev": item.rev,
           "created": item.created, "lease": item.lease})
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= group.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * at)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|c| ALPHABET.iter().position(|known| *known == c));
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in digits {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
