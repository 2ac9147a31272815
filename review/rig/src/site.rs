//! A small deployment: the store, engines, two nodes, and clients.

use std::io::ErrorKind;
use std::io::Read;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::Run;
use crate::engine::Spec;
use crate::net::Link;
use crate::net::call;
use crate::net::read_head;
use crate::net::send;
use crate::net::wait_for;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "ctnfzs989anu6wsjnban";
pub const MODEL: &str = "daka510000";
const ZONES: [&str; 3] = ["rvk-a", "rvk-b", "rvk-c"];

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub node: String,
    pub kind: &'static str,
    pub at_ms: u64,
    pub ended_ms: u64,
    pub answer: String,
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub engines: Vec<Engine>,
    pub nodes: Vec<Node>,
    /// Each node's link to the store.
    pub links: Vec<Link>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    clients: Vec<JoinHandle<()>>,
    requests: u64,
}

/// Returns the configuration: a plain service with an unsafe and a safe route, and model engines
/// with a stream that may be resumed.
pub fn configuration(version: u64, tenants: &[Value]) -> Value {
    let route = |name: &str,
                 kind: &str,
                 timeout: u64,
                 target: u64,
                 service: &str,
                 attempts: u32| {
        let is_stream = kind == "stream";
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout, "target_latency_ms": target, "priority": 2, "service": service,
            "max_attempts": attempts, "anonymous": false, "sticky": is_stream,
            "resumable": is_stream, "gap_target_ms": if is_stream { 400 } else { 0 },
        })
    };
    json!({
        "version": version,
        "routes": [
            route("order", "unsafe", 800, 150, "shop", 1),
            route("look", "safe", 800, 150, "shop", 2),
            route("board", "stream", 12_000, 1_500, "llm", 2),
            route("check", "stream", 5_000, 500, "llm", 2),
            // As the operator may lengthen and shorten them.
            route("book", "stream", 60_000, 1_500, "llm", 2),
            route("draft", "stream", 5_000, 1_500, "llm", 2),
        ],
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": 230, "protocol": "h1",
             "tls": false, "engine": {"slots": 32, "kv_capacity_tokens": 172330,
             "kv_token_bytes": 35136, "link_mbps": 550000.0, "moves": true, "backups": true,
             "stride": 3, "max_concurrent": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
             "handle_s": 5.0, "models": [{"name": MODEL}]}},
            {"name": "shop", "health_path": "/health", "max_connections": 100, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    })
}

/// Returns a tenant of the configuration.
pub fn tenant(name: &str, key: &str, is_isolated: bool) -> Value {
    json!({"name": name, "api_keys": [key], "priority": 1, "isolated": is_isolated})
}

impl Site {
    /// Starts everything and waits until the nodes are ready.
    pub fn start(
        record: Record,
        repository: PathBuf,
        folder: PathBuf,
        services: &[(&str, usize)],
        node_count: usize,
        slow_engines: bool,
    ) -> Result<Self, String> {
        let store = Store::start();
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        store.put("op/config", &configuration(7, &[tenant("sese880", KEY, false)]));
        store.put(&format!("op/version/{MODEL}"), &json!({"model": MODEL, "version": 1}));
        let mut engines = Vec::new();
        for (service, count) in services {
            for number in 0..*count {
                let is_model = *service == "llm";
                let spec = Spec {
                    id: format!("i-{service}{number}"),
                    service: (*service).to_owned(),
                    zone: ZONES[number % ZONES.len()].to_owned(),
                    slots: if is_model { 32 } else { 6 },
                    work: Duration::from_millis(30),
                    model: is_model.then(|| MODEL.to_owned()),
                    events: 400,
                    gap: Duration::from_millis(150),
                    // That of the site file's engines, or less than half of it where the case says so.
                    tokens_per_ms: if slow_engines { 25.0 } else { 56.1 },
                };
                let engine = Engine::start(spec, runs.clone(), record.clone());
                store.put(&engine.key(), &engine.entry("ready"));
                record.say(&format!("engine {} at {}", engine.spec.id, engine.address()));
                engines.push(engine);
            }
        }
        let ips = free_addresses(node_count).ok_or("no free loopback addresses")?;
        let mut nodes = Vec::new();
        let mut links = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            let link = Link::start(store.server.address);
            let name =
                format!("front-{}-{}", ZONES[number % ZONES.len()], number / ZONES.len() + 1);
            let zone = ZONES[number % ZONES.len()];
            let node = Node::start(&repository, &folder, &name, zone, *ip, &ips, link.address);
            nodes.push(node.map_err(|e| format!("{name} does not start: {e}"))?);
            links.push(link);
        }
        let site = Self {
            record,
            store,
            runs,
            engines,
            nodes,
            links,
            sent: Arc::default(),
            clients: Vec::new(),
            requests: 0,
        };
        for node in &site.nodes {
            if !wait_for(Duration::from_secs(10), || node.is_ready()) {
                return Err(format!("{} is not ready", node.name));
            }
        }
        site.record.say("all nodes are ready");
        Ok(site)
    }

    pub fn engine(&self, id: &str) -> &Engine {
        self.engines.iter().find(|engine| engine.spec.id == id).expect("a known engine")
    }

    pub fn now_ms(&self) -> u64 {
        self.record.now_ms()
    }

    /// Sleeps until a time on the record's clock.
    pub fn until(&self, at_ms: u64) {
        let now_ms = self.now_ms();
        if at_ms > now_ms {
            thread::sleep(Duration::from_millis(at_ms - now_ms));
        }
    }

    /// Returns a new request id.
    pub fn next_id(&mut self) -> String {
        self.requests += 1;
        format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + self.requests)
    }

    /// Keeps a client's thread until the end.
    pub fn background(&mut self, client: JoinHandle<()>) {
        self.clients.push(client);
    }

    /// Sends a request for the plain service to a node, in the background.
    pub fn send_plain(&mut self, node: usize, kind: &'static str) {
        let id = self.next_id();
        let (record, sent) = (self.record.clone(), self.sent.clone());
        let (front, name) = (self.nodes[node].front, self.nodes[node].name.clone());
        self.clients.push(thread::spawn(move || {
            let at_ms = record.now_ms();
            let (method, target) = match kind {
                "unsafe" => ("POST", "/order/2f"),
                _ => ("GET", "/look/2f"),
            };
            let headers = headers(&id, 1_500);
            let limit = Duration::from_millis(1_500);
            let answer = call(front, method, target, &headers, &[b'x'; 600], limit).text();
            let ended_ms = record.now_ms();
            let done = Sent { id, node: name, kind, at_ms, ended_ms, answer };
            sent.lock().unwrap().push(done);
        }));
    }

    /// Sends a stream to a node, in the background. Its client waits for the first event as long as
    /// the pages say for this route, and reads to the end.
    pub fn send_stream(&mut self, node: usize, prompt: &Prompt, patience: Duration) -> String {
        self.send_stream_as(KEY, node, prompt, patience)
    }

    /// Sends a stream with a key.
    pub fn send_stream_as(
        &mut self,
        key: &str,
        node: usize,
        prompt: &Prompt,
        patience: Duration,
    ) -> String {
        let id = self.next_id();
        let deadline_ms = if prompt.route == "book" { 60_000 } else { 12_000 };
        let mut headers = headers_with(key, &id, deadline_ms);
        headers.push(("X-Model".to_owned(), MODEL.to_owned()));
        let (shared, own, out) = (prompt.shared, prompt.own, prompt.out);
        headers.push(("X-Token-Count".to_owned(), format!("{},{out}", shared + own)));
        let number = self.requests;
        let prefix = format!("5c1e{:04x}:{shared},91bd{number:04x}:{own}", number % prompt.things);
        headers.push(("X-Prompt-Prefix".to_owned(), prefix));
        let (record, sent) = (self.record.clone(), self.sent.clone());
        let (front, name, own_id) =
            (self.nodes[node].front, self.nodes[node].name.clone(), id.clone());
        let target = format!("/{}/2f", prompt.route);
        self.clients.push(thread::spawn(move || {
            let at_ms = record.now_ms();
            let body = vec![b'x'; 1_000];
            let limit = Duration::from_secs(12);
            let answer = call_stream(front, &target, &headers, &body, patience, limit);
            let ended_ms = record.now_ms();
            let done = Sent { id: own_id, node: name, kind: "stream", at_ms, ended_ms, answer };
            sent.lock().unwrap().push(done);
        }));
        id
    }

    /// Sends requests for the plain service, `per_s` a second to each of the nodes, until a time.
    pub fn traffic(&mut self, nodes: &[usize], per_s: u64, until_ms: u64) {
        let mut turn = 0;
        while self.now_ms() < until_ms {
            for node in nodes {
                self.send_plain(*node, if turn % 2 == 0 { "unsafe" } else { "safe" });
            }
            turn += 1;
            thread::sleep(Duration::from_millis(1_000 / per_s));
        }
    }

    /// Ends the nodes' processes, and with them what their clients still read.
    pub fn kill_nodes(&mut self) {
        self.record.say("the case is over: the nodes are killed");
        self.nodes.iter_mut().for_each(Node::kill);
    }

    /// Waits for the clients, and writes what was sent and run.
    pub fn finish(&mut self) {
        self.clients.drain(..).for_each(|client| {
            let _ = client.join();
        });
        let mut sent = self.sent.lock().unwrap().clone();
        sent.sort_by_key(|sent| sent.at_ms);
        self.record.say(&format!("-- {} requests, as their clients saw them", sent.len()));
        for one in &sent {
            self.record.say(&format!(
                "sent at {} ms to {}: {} {} -> {} at {} ms",
                one.at_ms, one.node, one.kind, one.id, one.answer, one.ended_ms
            ));
        }
        let runs = self.runs.lock().unwrap().clone();
        self.record.say(&format!("-- {} runs, as the engines saw them", runs.len()));
        for run in &runs {
            self.record.say(&format!(
                "arrived at {} ms at {}: {} last_event={:?} tenant={:?} salt={:?} used={:?} -> {} at \
                 {:?} ms",
                run.arrived_ms,
                run.engine,
                run.request,
                run.last_event,
                run.tenant,
                run.salt,
                run.used,
                run.outcome,
                run.ended_ms
            ));
        }
        for node in &mut self.nodes {
            if node.has_ended() {
                self.record.show(&format!("{} ended by itself", node.name));
            }
            let log = std::fs::read_to_string(node.log_path()).unwrap_or_default();
            self.record.say(&format!("-- what {} wrote, without requests", node.name));
            let lines = log.lines().filter(|line| {
                !["event=assigned", "event=request_ended", "event=engine_model"]
                    .iter()
                    .any(|event| line.contains(event))
            });
            for line in lines.take(400) {
                self.record.say(line);
            }
        }
    }
}

/// The prompts of a kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    pub route: &'static str,
    pub shared: u64,
    pub own: u64,
    /// The most output tokens.
    pub out: u64,
    /// How many shared parts there are.
    pub things: u64,
}

fn call_stream(
    front: SocketAddr,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    patience: Duration,
    limit: Duration,
) -> String {
    let opened = send(front, "POST", target, headers, body, patience);
    let Ok(mut reader) = opened else { return "no connection".to_owned() };
    let status = match read_head(&mut reader) {
        Ok(Some(head)) => head.status().to_string(),
        Ok(None) => return "closed without an answer".to_owned(),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            return "left without an answer".to_owned();
        }
        Err(e) => return format!("broken ({})", e.kind()),
    };
    let _ = reader.get_ref().set_read_timeout(Some(limit));
    let mut bytes = Vec::new();
    match reader.read_to_end(&mut bytes) {
        Ok(_) => status,
        Err(e) => format!("{status}, then broken ({})", e.kind()),
    }
}

/// Returns the headers of a client's request with a deadline.
pub fn headers(id: &str, deadline_ms: u64) -> Vec<(String, String)> {
    headers_with(KEY, id, deadline_ms)
}

fn headers_with(key: &str, id: &str, deadline_ms: u64) -> Vec<(String, String)> {
    let own = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    vec![
        own("Host", HOST),
        own("X-Request-Id", id),
        own("X-Deadline-Ms", &deadline_ms.to_string()),
        own("Authorization", &format!("Token {key}")),
        own("Connection", "close"),
    ]
}

/// Returns loopback addresses whose ports of a node are free.
fn free_addresses(count: usize) -> Option<Vec<Ipv4Addr>> {
    let pid = std::process::id();
    (0..200_u32).find_map(|attempt| {
        let (second, third) = ((pid + attempt) % 100 + 60, (pid / 100 + attempt) % 250 + 1);
        let ips = (1..=count).map(|last| Ipv4Addr::new(127, second as u8, third as u8, last as u8));
        let ips: Vec<Ipv4Addr> = ips.collect();
        let is_free = |ip: &Ipv4Addr| {
            [8782, 8783, 8789, 9464].iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && UdpSocket::bind((*ip, 7340)).is_ok()
        };
        ips.iter().all(is_free).then_some(ips)
    })
}
