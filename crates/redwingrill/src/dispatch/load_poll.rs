//! Polls the load of engines.
//!
//! In a small fleet, each node polls each engine a few times a second. In a large fleet, a few
//! watchers of each engine report to the other nodes, and this task is inactive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::messages::WeakDispatcher;
use super::observations::EngineLoadReport;
use redwingrill_config::Snapshot;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::Incarnation;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// Fetches the load of one engine. Returns `None` if the call fails.
pub(crate) async fn fetch_load(pool: &Pool, address: SocketAddr) -> Option<LoadResponse> {
    let request = Request::get("/load")
        .header(header::HOST, address.to_string())
        .body(Bytes::new())
        .expect("the path and the host header are valid");
    let timeouts = Timeouts { connect: POLL_TIMEOUT, head: POLL_TIMEOUT };
    let response = pool.send(address, request, Freshness::Any, &timeouts).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = response.into_body().read_all(RESPONSE_LIMIT_BYTES, POLL_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The number of engines that are polled in one interval.
const MAX_CONCURRENT_POLLS: usize = 32;

const POLL_TIMEOUT: Duration = Duration::from_millis(400);

const RESPONSE_LIMIT_BYTES: usize = 4 << 10;

/// The response of `GET /load`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LoadResponse {
    incarnation: String,
    weights_version: String,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    waiting_tokens: u64,
    #[serde(default)]
    pub(crate) leaving: bool,
}

impl From<LoadResponse> for LoadReport {
    fn from(response: LoadResponse) -> Self {
        Self {
            start: EngineStart {
                incarnation: Incarnation::parse(&response.incarnation),
                weights: WeightsTag::of(&response.weights_version),
            },
            running: response.running,
            waiting: response.waiting,
            waiting_tokens: response.waiting_tokens,
        }
    }
}

/// The task that polls the load of engines.
#[derive(Debug)]
pub struct LoadPoll {
    pool: Pool,
    configuration: watch::Receiver<Arc<Snapshot>>,
    dispatcher: WeakDispatcher,
    // False while other nodes report the load of the engines.
    is_active: Arc<AtomicBool>,
    next: usize,
}

impl LoadPoll {
    pub(super) fn new(
        pool: Pool,
        configuration: watch::Receiver<Arc<Snapshot>>,
        dispatcher: WeakDispatcher,
        is_active: Arc<AtomicBool>,
    ) -> Self {
        Self { pool, configuration, dispatcher, is_active, next: 0 }
    }

    /// Runs until the last [`Dispatcher`](super::Dispatcher) is dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.dispatcher.is_open() {
            ticks.tick().await;
            if !self.is_active.load(Ordering::Relaxed) {
                continue;
            }
            let engines = self.next_engines();
            join_all(engines.iter().map(|&(id, address)| self.poll(id, address))).await;
        }
    }

    fn next_engines(&mut self) -> Vec<(UpstreamId, SocketAddr)> {
        let snapshot = self.configuration.borrow().clone();
        let upstreams = snapshot.state.upstreams.iter();
        let engines = upstreams.filter(|(_, upstream)| upstream.kind == UpstreamKind::Engine);
        let engines: Vec<_> = engines.map(|(id, upstream)| (id, upstream.address)).collect();
        let count = engines.len().min(MAX_CONCURRENT_POLLS);
        let start = self.next;
        self.next += count;
        (start..start + count).map(|index| engines[index % engines.len()]).collect()
    }

    async fn poll(&self, upstream: UpstreamId, address: SocketAddr) {
        let observed = Instant::now();
        // An engine that does not respond is assessed by the outcome of its requests.
        let Some(response) = fetch_load(&self.pool, address).await else { return };
        let leaving = response.leaving;
        let report = EngineLoadReport { upstream, load: response.into(), leaving, observed };
        let _ended = self.dispatcher.observe_load(report);
    }
}
