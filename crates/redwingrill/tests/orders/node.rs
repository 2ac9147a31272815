//! The service handler of one node on its own runtime, which can be paused and killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http_body_util::BodyExt;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::store::HookedStore;
use crate::store::NODE_PAUSE;
use redwingrill::completions::Caller;
use redwingrill::http::RequestId;
use redwingrill::http::error_response;
use redwingrill::services::ServiceCall;
use redwingrill::services::Services;
use redwingrill::upstream::LeavingUpstreams;
use redwingrill_config::Account;
use redwingrill_config::CallPattern;
use redwingrill_config::DesiredState;
use redwingrill_config::Fencing;
use redwingrill_config::Generation;
use redwingrill_config::KeyHash;
use redwingrill_config::Service;
use redwingrill_config::Snapshot;
use redwingrill_config::Upstream;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::AccountId;
use redwingrill_entity::DomainId;
use redwingrill_entity::EntityRef;
use redwingrill_entity::ServiceId;
use redwingrill_entity::UpstreamId;
use redwingrill_ledger::layout::LayoutConfig;
use redwingrill_ledger::layout::PagedLayout;
use redwingrill_ledger::layout::SingleLayout;
use redwingrill_ledger::task::Ledger;
use redwingrill_ledger::task::LedgerConfig;
use redwingrill_ledger::task::LedgerTask;
use redwingrill_ledger::task::LocalOwner;
use redwingrill_ledger::task::WallClock;
use redwingrill_transport::Pool;

pub const ACCOUNTS: [&str; 2] = ["writers", "kiosks"];

/// Start of the wall clock, so that keys with timestamps are the same in each run.
pub const WALL_MS: u64 = 1_700_000_000_000;

/// The record layout in the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LayoutKind {
    Single,
    Paged,
}

/// The time limits of a test.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub call_timeout_ms: u64,
    pub record_deadline_ms: u64,
    pub send_limit_ms: u64,
    pub service_timeout_ms: u32,
}

impl Timing {
    /// Short limits for tests that check only invariants.
    pub const MATRIX: Self = Self {
        call_timeout_ms: 100,
        record_deadline_ms: 300,
        send_limit_ms: 250,
        service_timeout_ms: 200,
    };
    /// Long limits, so that a busy machine does not change a response.
    pub const SESSIONS: Self = Self {
        call_timeout_ms: 300,
        record_deadline_ms: 1_000,
        send_limit_ms: 2_000,
        service_timeout_ms: 1_000,
    };
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub account: usize,
    pub keys: Vec<String>,
    pub body: String,
}

/// The response to a caller.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    pub request_id: String,
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

/// A running node.
pub struct Node {
    /// The upstreams that take no new calls.
    pub leaving: LeavingUpstreams,
    handle: Handle,
    services: Services,
    ledger: Ledger,
    snapshot: Arc<Snapshot>,
    stop: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Starts a node on its own thread.
    pub fn start(
        store: HookedStore,
        kind: LayoutKind,
        timing: Timing,
        upstream: (SocketAddr, Fencing),
    ) -> Self {
        let snapshot = snapshot(&[upstream], timing.service_timeout_ms);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("runtime starts");
        let handle = runtime.handle().clone();
        let _entered = handle.enter();
        let layout = LayoutConfig {
            shards: 1,
            commit_interval_ms: 1,
            finish_linger_ms: 5,
            retry_backoff_ms: 5,
            ..LayoutConfig::default()
        };
        let config = LedgerConfig {
            call_timeout_ms: timing.call_timeout_ms,
            record_deadline_ms: timing.record_deadline_ms,
            send_limit_ms: timing.send_limit_ms,
            settle_deadline_ms: 2_000,
            ..LedgerConfig::default()
        };
        static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
        let started = *STARTED;
        let clock = WallClock::new(move || WALL_MS + started.elapsed().as_millis() as u64);
        let ledger = match kind {
            LayoutKind::Single => {
                let single = SingleLayout::new(layout);
                let (ledger, task) = LedgerTask::new(store, single, LocalOwner, 1, config, clock);
                handle.spawn(task.run());
                ledger
            }
            LayoutKind::Paged => {
                let paged = PagedLayout::new(layout);
                let (ledger, task) = LedgerTask::new(store, paged, LocalOwner, 1, config, clock);
                handle.spawn(task.run());
                ledger
            }
        };
        let leaving = LeavingUpstreams::default();
        let services =
            Services::new(Pool::new(), leaving.clone(), ledger.clone(), TaskTracker::new());
        let (stop, stopped) = oneshot::channel();
        std::thread::spawn(move || {
            // Dropping the sender also stops the node.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        drop(_entered);
        Self { leaving, handle, services, ledger, snapshot, stop: Some(stop) }
    }

    /// Kills the node: its tasks and connections end immediately.
    pub fn crash(&mut self) {
        self.stop.take();
    }

    /// Blocks the whole node for [`NODE_PAUSE`].
    pub fn pause(&self) {
        self.handle.spawn(async { std::thread::sleep(NODE_PAUSE) });
    }

    /// Writes all pending records; returns whether that succeeded in time.
    pub async fn drain(&self) -> bool {
        self.ledger.drain(Duration::from_secs(2)).await
    }

    /// Serves a call; returns none if the node died before it responded.
    pub fn call(
        &self,
        caller_request: CallerRequest,
    ) -> impl Future<Output = Option<CallerResponse>> + Send + use<> {
        let (services, snapshot) = (self.services.clone(), self.snapshot.clone());
        let work = self.handle.spawn(async move {
            let request_id = RequestId::random();
            let caller = Caller {
                snapshot: &snapshot,
                account: AccountId::from_index(caller_request.account),
                request_id,
            };
            let mut headers = HeaderMap::new();
            for key in &caller_request.keys {
                headers.append("idempotency-key", key.parse().expect("valid header value"));
            }
            let body = Bytes::from(caller_request.body);
            let call = ServiceCall {
                service: "shop",
                method: &Method::POST,
                path: "/orders",
                headers: &headers,
                body: &body,
            };
            let served = services.serve(caller, call).await;
            let response = served.unwrap_or_else(|refusal| error_response(&refusal, request_id));
            let (parts, body) = response.into_parts();
            let body = body.collect().await.expect("bodies are in memory").to_bytes();
            CallerResponse {
                request_id: request_id.to_string(),
                status: parts.status.as_u16(),
                headers: parts.headers,
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        });
        async move { tokio::time::timeout(Duration::from_secs(5), work).await.ok()?.ok() }
    }
}

/// Builds a configuration with one service, two accounts, and the given upstreams.
fn snapshot(upstreams: &[(SocketAddr, Fencing)], timeout_ms: u32) -> Arc<Snapshot> {
    let mut state = DesiredState::default();
    for (index, name) in ACCOUNTS.iter().enumerate() {
        let account = Account {
            name: (*name).to_owned(),
            key_hashes: vec![KeyHash::of(name)],
            priorities: Vec::new(),
            weight: 1,
            tokens_per_s_limit: 0,
            requests_limit: 0,
            connections_limit: 0,
        };
        state.accounts.insert(AccountId::from_index(index), account.into());
    }
    for (index, (address, fencing)) in upstreams.iter().enumerate() {
        let upstream = Upstream {
            name: format!("shop-{index}"),
            kind: UpstreamKind::Service,
            address: *address,
            domain: DomainId::from_index(0),
            model: None,
            fencing: *fencing,
            requests_limit: 0,
            drained: false,
        };
        state.upstreams.insert(UpstreamId::from_index(index), upstream);
    }
    let service = Service {
        name: "shop".to_owned(),
        upstreams: (0..upstreams.len()).map(UpstreamId::from_index).collect(),
        unrepeatable: vec![CallPattern {
            method: "POST".to_owned(),
            path_prefix: "/orders".to_owned(),
        }],
        retained_window_s: 3_600,
        in_flight_limit: 2,
        timeout_ms,
    };
    state.services.insert(ServiceId::from_index(0), service);
    Arc::new(Snapshot::new(Generation(1), state))
}
