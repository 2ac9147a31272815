//! Nodes on the platform's adapter, with stand-ins of the store and the upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;

use redwingrill_admission::limits::fleet::QuotaOptions;
use redwingrill_gateway::node::Node;
use redwingrill_gateway::node::NodeOptions;
use redwingrill_gateway::node::NodePorts;
use redwingrill_gateway::node::Serving;
use redwingrill_gateway::node::StartError;
use redwingrill_lab::metadata_store::MetadataStore;
use redwingrill_lab::metadata_store::StoreState;
use redwingrill_lab::on_platform;
pub use redwingrill_lab::on_platform::HOST;
pub use redwingrill_lab::on_platform::KEY;
use redwingrill_lab::on_platform::Resumption;
use redwingrill_lab::on_platform::RouteEntry;
use redwingrill_lab::on_platform::StreamPart;
use redwingrill_lab::on_platform::read_stream;
use redwingrill_lab::site_upstream::SiteUpstream;
use redwingrill_platform::PlatformControl;
use redwingrill_platform::PlatformHeadCodec;
use redwingrill_platform::PlatformItemCodec;
use redwingrill_platform::PlatformStore;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;

/// How long a change may take to be in force.
pub const IN_FORCE: Duration = Duration::from_secs(2);
/// How long a roll-out may take.
pub const ALL_IN_TIME: Duration = Duration::from_secs(20);
/// How long nodes expect the entry of an upstream that is gone to stay in the store.
pub const UPSTREAM_LAPSE: Duration = Duration::from_secs(3);
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// Routes of each kind. The account `cafe` is isolated; `extra` is more routes.
pub fn configuration(version: u64, keys: &[&str], extra: &[serde_json::Value]) -> String {
    let route = |name, kind, attempts_limit, is_resumable| RouteEntry {
        name,
        kind,
        timeout_ms: 1_500,
        target_latency_ms: 400,
        attempts_limit,
        is_resumable,
    };
    let slow = route("slow", "stream", 1, false);
    let routes = [
        route("look", "safe", 2, false),
        route("order", "unsafe", 1, false),
        route("draft", "stream", 1, false),
        route("check", "stream", 2, true),
        RouteEntry { timeout_ms: 15_000, target_latency_ms: 5_000, ..slow },
    ];
    let routes = routes.map(serde_json::Value::from).into_iter().chain(extra.iter().cloned());
    on_platform::configuration(version, &routes.collect::<Vec<_>>(), keys, 100)
}

/// A safe route to the plain upstreams, `added`.
pub fn added_route() -> serde_json::Value {
    json!({"name": "added", "host": HOST, "prefix": "/added/", "kind": "safe",
           "timeout_ms": 1_500, "target_latency_ms": 400, "priority": 1, "service": "shop",
           "max_attempts": 2, "anonymous": false, "sticky": false, "resumable": false})
}

/// A node with its addresses.
pub struct SiteNode {
    pub node: Node<Serving>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub gossip: SocketAddr,
    pub metrics: SocketAddr,
}

/// A store, upstreams of both services, and what reaches a node.
pub struct Site {
    pub store: MetadataStore,
    pub engines: Vec<SiteUpstream>,
    pub shops: Vec<SiteUpstream>,
    pub pool: Pool,
    /// How long nodes may use older weights.
    pub stale_version_limit: Duration,
    /// The lease of the roll-out's leader.
    pub rollout_lease: Duration,
}

/// The addresses of a node, all of one instance.
#[derive(Clone, Copy)]
pub struct NodeAddresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub gossip: SocketAddr,
    pub metrics: SocketAddr,
}

impl NodeAddresses {
    pub fn new() -> Self {
        let (callers, readiness) = (free_address(), free_address());
        let (gossip, metrics) = (free_address(), free_address());
        Self { callers, readiness, peers: free_address(), gossip, metrics }
    }
}

/// Returns the failure domain of a node: what is before the hyphen in its name, or `a`.
fn failure_domain_of(name: &str) -> &str {
    name.split_once('-').map_or("a", |(domain, _)| domain)
}

/// A node in a runtime of its own. Dropping it ends it as abruptly as a kill ends a process.
pub struct KillableNode {
    pub node: SiteNode,
    runtime: Option<Runtime>,
}

impl Drop for KillableNode {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn serve(
    options: NodeOptions,
    addresses: NodeAddresses,
    store: SocketAddr,
) -> Result<SiteNode, StartError> {
    let pool = Pool::new();
    let ports = NodePorts {
        store: PlatformStore::new(store, pool.clone()),
        control: PlatformControl::new(pool.clone()),
        item_codec: Arc::new(PlatformItemCodec),
        head_codec: Arc::new(PlatformHeadCodec),
    };
    let node = Node::new(options).serve(ports, pool).await?;
    let NodeAddresses { callers, readiness, peers, gossip, metrics } = addresses;
    Ok(SiteNode { node, callers, readiness, peers, gossip, metrics })
}

impl Site {
    pub async fn start(engines: usize, shops: usize) -> Self {
        let state = StoreState::default();
        let store = MetadataStore::start(state.clone()).await.expect("a free port");
        state.put("op/config", configuration(1, &[KEY], &[]));
        let mut site = Self {
            store,
            engines: Vec::new(),
            shops: Vec::new(),
            pool: Pool::new(),
            stale_version_limit: Duration::from_secs(20),
            rollout_lease: Duration::from_secs(1),
        };
        for n in 0..engines {
            let engine = SiteUpstream::start(&format!("e{n}"), "llm", &state).await;
            site.engines.push(engine.expect("a free port"));
        }
        for n in 0..shops {
            let shop = SiteUpstream::start(&format!("s{n}"), "shop", &state).await;
            site.shops.push(shop.expect("a free port"));
        }
        site
    }

    /// Starts a node and waits until it is ready.
    pub async fn node(&self, name: &str) -> SiteNode {
        let node = self.start_node(name, self.store.address(), Vec::new()).await;
        self.wait("the node is ready", async || self.is_ready(&node).await).await;
        node
    }

    /// Starts a node that reaches the store at an address of its own.
    pub async fn start_node(
        &self,
        name: &str,
        store: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> SiteNode {
        let node = self.start_node_at(name, NodeAddresses::new(), store, seeds).await;
        node.expect("free ports")
    }

    /// Starts a node at its addresses, which an earlier process of the instance may still hold.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start_node_at(
        &self,
        name: &str,
        addresses: NodeAddresses,
        store: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Result<SiteNode, StartError> {
        serve(self.node_options(name, addresses, seeds), addresses, store).await
    }

    /// Starts a node that can be killed.
    pub async fn start_killable_node(
        &self,
        name: &str,
        store: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> KillableNode {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("threads");
        let addresses = NodeAddresses::new();
        let options = self.node_options(name, addresses, seeds);
        let node = runtime.spawn(serve(options, addresses, store)).await;
        let node = node.expect("the start does not panic").expect("free ports");
        KillableNode { node, runtime: Some(runtime) }
    }

    /// Starts a node that can be killed and waits until it is ready.
    pub async fn killable_node(&self, name: &str) -> KillableNode {
        let killable = self.start_killable_node(name, self.store.address(), Vec::new()).await;
        self.wait("the node is ready", async || self.is_ready(&killable.node).await).await;
        killable
    }

    fn node_options(
        &self,
        name: &str,
        addresses: NodeAddresses,
        seeds: Vec<SocketAddr>,
    ) -> NodeOptions {
        NodeOptions {
            name: name.to_owned(),
            failure_domain: failure_domain_of(name).to_owned(),
            link_mbps: 1_000,
            caller_address: addresses.callers,
            readiness_address: addresses.readiness,
            peer_address: Some(addresses.peers),
            gossip_address: Some(addresses.gossip),
            metrics_address: Some(addresses.metrics),
            seeds,
            upstream_lapse: UPSTREAM_LAPSE,
            is_first_start: true,
            retry_budget: RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
            stale_version_limit: self.stale_version_limit,
            limits_concurrency: false,
            rollout_lease: self.rollout_lease,
            stop_timeout: Duration::from_secs(4),
            quotas: QuotaOptions::default(),
        }
    }

    /// Starts engines of a version of their software.
    pub async fn add_engines(&mut self, software: &str, count: usize) {
        for _ in 0..count {
            let id = format!("e{}", self.engines.len());
            let state = &self.store.state;
            let engine = SiteUpstream::start_with_software(&id, "llm", state, software).await;
            self.engines.push(engine.expect("a free port"));
        }
    }

    pub async fn is_ready(&self, node: &SiteNode) -> bool {
        on_platform::is_ready(&self.pool, node.readiness, CALL_LIMIT).await
    }

    /// Waits for a condition, and fails if it does not come about in time.
    pub async fn wait(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let ends = Instant::now() + IN_FORCE;
        while !condition().await {
            assert!(Instant::now() < ends, "not in time: {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Names new weights, as the operator does.
    pub fn name_version(&self, version: u64) {
        let named = json!({"model": "m", "version": version});
        self.store.state.put("op/version/m", named.to_string());
    }

    /// Waits until all engines have a version, and fails if they do not get it in time.
    pub async fn wait_for_version(&self, version: u64) {
        let ends = Instant::now() + ALL_IN_TIME;
        while self.engines.iter().any(|engine| engine.version() < version) {
            assert!(Instant::now() < ends, "engines lack version {version}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request and returns the head of the answer.
    pub async fn send(&self, node: &SiteNode, call: &Call) -> http::Response<ResponseBody> {
        let timeouts = Timeouts { connect: CALL_LIMIT, head: CALL_LIMIT };
        let reply = self.pool.send(node.callers, call.request(), Freshness::New, &timeouts).await;
        reply.expect("the node answers")
    }

    /// Sends a request and returns the whole answer; the body is `None` if it was broken off.
    pub async fn ask(&self, node: &SiteNode, call: &Call) -> Answer {
        Self::ask_at(&self.pool, node.callers, call).await.expect("the node answers")
    }

    /// Like [`Site::ask`], at an address; `None` if there was no answer.
    pub async fn ask_at(pool: &Pool, callers: SocketAddr, call: &Call) -> Option<Answer> {
        let timeouts = Timeouts { connect: CALL_LIMIT, head: CALL_LIMIT };
        let reply = pool.send(callers, call.request(), Freshness::New, &timeouts).await;
        let (parts, body) = reply.ok()?.into_parts();
        let body = body.read_all(1 << 20, CALL_LIMIT).await;
        let body = body.ok().map(|body| String::from_utf8_lossy(&body).into_owned());
        Some(Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a request and reads its answer up to a number of events; `None` if there was none.
    pub async fn read(
        &self,
        callers: SocketAddr,
        call: &Call,
        events: usize,
    ) -> Option<StreamPart> {
        let timeouts = Timeouts { connect: CALL_LIMIT, head: CALL_LIMIT };
        let (pool, request) = (&self.pool, call.request());
        read_stream(pool, callers, request, Freshness::New, events, &timeouts).await
    }

    pub async fn stop(self, nodes: Vec<SiteNode>) {
        for node in nodes {
            node.node.drain().await.finish().await;
        }
        for upstream in self.engines.into_iter().chain(self.shops) {
            upstream.stop().await;
        }
        self.store.stop().await;
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<String>,
}

impl Answer {
    pub fn is_signed(&self) -> bool {
        self.headers.contains_key("x-server-stamp")
    }

    /// Returns the numbers of the events.
    pub fn events(&self) -> Vec<u64> {
        let lines = self.body.as_deref().unwrap_or_default().lines();
        lines.filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub route: &'static str,
    pub key: Option<&'static str>,
    pub headers: Vec<(&'static str, &'static str)>,
    /// The parts of the prompt, if they aren't those of every request.
    pub parts: Option<String>,
    /// The stream that the request takes up.
    pub resumption: Option<Resumption>,
    pub body: Bytes,
}

impl Call {
    pub fn new(route: &'static str, id: &str) -> Self {
        Self {
            id: id.to_owned(),
            route,
            key: Some(KEY),
            headers: Vec::new(),
            parts: None,
            resumption: None,
            body: Bytes::from_static(b"body"),
        }
    }

    fn request(&self) -> Request<Bytes> {
        let deadline = Duration::from_millis(if matches!(self.route, "slow" | "steady") {
            15_000
        } else {
            1_500
        });
        let is_stream = matches!(self.route, "draft" | "check" | "slow" | "steady");
        let mut request = on_platform::request(self.route, &self.id, deadline, self.key, is_stream);
        for (name, value) in &self.headers {
            request = request.header(*name, *value);
        }
        let mut request = request.body(self.body.clone()).expect("a request");
        if let Some(parts) = &self.parts {
            let parts = HeaderValue::from_str(parts).expect("plain text");
            request.headers_mut().insert("x-prompt-prefix", parts);
        }
        if let Some(resumption) = &self.resumption {
            resumption.add_to(request.headers_mut());
        }
        request
    }
}

/// The ports below those that the system gives to outgoing connections, which could take a port
/// between its choice and its use. Each is given out once in a process.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

pub fn free_address() -> SocketAddr {
    // Processes of the same time begin at different ports.
    let begin = (std::process::id() % u32::from(PORTS)) as u16;
    for _ in 0..PORTS {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (begin + step % PORTS) % PORTS;
        if let Ok(socket) = std::net::TcpListener::bind(("127.0.0.1", port)) {
            return socket.local_addr().expect("a bound socket");
        }
    }
    panic!("no port is free");
}
