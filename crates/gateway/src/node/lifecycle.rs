//! The life cycle of a node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use log::info;
use log::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::NodeOptions;
use super::NodePorts;
use super::membership::keep_membership;
use crate::cache_watch::CacheWatch;
use crate::cluster_view::MEMBER_PREFIX;
use crate::cluster_view::Member;
use crate::dispatch::DispatchTask;
use crate::dispatch::Dispatcher;
use crate::forward::Gateway;
use crate::forward::GatewayContext;
use crate::front::CallerListener;
use crate::front::StatusServer;
use crate::peers::Gossip;
use crate::peers::PeerServer;
use crate::rollout::RolloutOptions;
use crate::rollout::RolloutTask;
use crate::store_sync::StoreSync;
use crate::store_sync::StoreSyncOptions;
use crate::telemetry::Metrics;
use redwingrill_routing::ItemDialect;
use redwingrill_routing::SharedStore;
use redwingrill_routing::UpstreamControl;
use redwingrill_scheduling::scheduler::SchedulerOptions;
use redwingrill_transport::Pool;

/// How long a node that stops goes on to accept: the balancer asks each second and takes a node out
/// after two misses.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);

/// What is left of the stop limit for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// How long the parts of a node may take to end after its work.
const JOIN_LIMIT: Duration = Duration::from_millis(300);

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// The node is not listening yet.
#[derive(Debug)]
pub struct Starting;

/// The node serves.
pub struct Serving {
    parts: Parts,
}

/// The node ends its open work.
pub struct Draining {
    parts: Parts,
    deadline: Instant,
}

struct Parts {
    listener: CallerListener,
    dispatcher: Dispatcher,
    relays: TaskTracker,
    services: TaskTracker,
    stopping: CancellationToken,
    pool: Pool,
}

/// A node in one state of its life.
pub struct Node<L> {
    options: NodeOptions,
    state: L,
}

impl Node<Starting> {
    /// Prepares a node.
    pub fn new(options: NodeOptions) -> Self {
        Self { options, state: Starting }
    }

    /// Binds the addresses and begins to serve.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn serve<S, C, D>(
        self,
        ports: NodePorts<S, C, D>,
        pool: Pool,
    ) -> Result<Node<Serving>, StartError>
    where
        S: SharedStore,
        C: UpstreamControl,
        D: ItemDialect,
    {
        let options = self.options;
        let callers = bind(options.caller_address).await?;
        let readiness = bind(options.readiness_address).await?;
        let peers = bind_some(options.peer_address).await?;
        let metrics_socket = bind_some(options.metrics_address).await?;
        let metrics = Metrics::new();
        let services = TaskTracker::new();
        let stopping = CancellationToken::new();
        let news_options = StoreSyncOptions {
            node: options.name.clone(),
            failure_domain: options.failure_domain.clone(),
            seeds: options.seeds.clone(),
            own_address: options.peer_address,
        };
        let (news, reader, beliefs) = StoreSync::new(
            ports.store.clone(),
            ports.item_codec.clone(),
            news_options,
            metrics.clone(),
        );
        services.spawn(news.run(stopping.clone()));
        if let Some(socket) = peers {
            services.spawn(PeerServer::new(socket, reader).run(stopping.clone()));
        }
        let (dispatcher, dispatch) =
            DispatchTask::new(scheduler_options(&options), beliefs.clone(), metrics.clone());
        services.spawn(dispatch.run(stopping.clone()));
        if let (Some(address), Some(gossip)) = (options.peer_address, options.gossip_address) {
            let socket = UdpSocket::bind(gossip).await.context(BindSnafu { address: gossip })?;
            let (name, dispatcher) = (options.name.clone(), dispatcher.clone());
            let task = Gossip::new(name, socket, beliefs.clone(), dispatcher);
            services.spawn(task.run(stopping.clone()));
            let key = ports.item_codec.own_key(&format!("{MEMBER_PREFIX}{}", options.name));
            let member = Member {
                name: options.name.clone(),
                address,
                gossip,
                failure_domain: options.failure_domain.clone(),
                link_mbps: options.link_mbps,
            };
            let membership = keep_membership(ports.store.clone(), key, member, stopping.clone());
            services.spawn(membership);
        }
        let (node, control) = (options.name.clone(), ports.control.clone());
        let caches = CacheWatch::new(node, control, beliefs.clone(), dispatcher.clone());
        services.spawn(caches.run(stopping.clone()));
        let rollout = RolloutTask::new(
            RolloutOptions { node: options.name.clone(), lease: options.rollout_lease },
            ports.store,
            ports.control,
            ports.item_codec.as_ref(),
            beliefs.clone(),
            dispatcher.clone(),
        );
        services.spawn(rollout.run(stopping.clone()));
        let relays = TaskTracker::new();
        let gateway = Gateway::new(GatewayContext {
            dialect: ports.head_codec,
            beliefs,
            dispatcher: dispatcher.clone(),
            pool: pool.clone(),
            relays: relays.clone(),
            metrics: metrics.clone(),
        });
        let listener = CallerListener {
            gateway,
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            aborting: CancellationToken::new(),
            tasks: TaskTracker::new(),
            metrics: metrics.clone(),
        };
        serve_readiness(readiness, &listener, &services, &stopping);
        if let Some(socket) = metrics_socket {
            serve_metrics(socket, metrics, dispatcher.clone(), &services, &stopping);
        }
        listener.tasks.spawn(listener.clone().run(callers));
        info!("event=serving node={} callers={}", options.name, options.caller_address);
        let parts = Parts { listener, dispatcher, relays, services, stopping, pool };
        Ok(Node { options, state: Serving { parts } })
    }
}

impl Node<Serving> {
    /// Says that the node is not ready, and goes on to accept until the balancer has noticed.
    pub async fn drain(self) -> Node<Draining> {
        let deadline = Instant::now() + self.options.stop_timeout.saturating_sub(STOP_MARGIN);
        info!("event=draining node={}", self.options.name);
        let parts = self.state.parts;
        parts.listener.draining.cancel();
        tokio::time::sleep(DRAIN_NOTICE.min(self.options.stop_timeout / 3)).await;
        parts.listener.closing.cancel();
        parts.listener.tasks.close();
        parts.dispatcher.refuse_waiting();
        Node { options: self.options, state: Draining { parts, deadline } }
    }
}

impl Node<Draining> {
    /// Waits for open work up to the stop limit, and joins every task. Returns whether all work
    /// ended by itself.
    pub async fn finish(self) -> bool {
        let Draining { parts, deadline } = self.state;
        parts.relays.close();
        let work = async {
            parts.listener.tasks.wait().await;
            parts.relays.wait().await;
        };
        let is_complete = timeout_at(deadline, work).await.is_ok();
        if !is_complete {
            warn!("event=work_cut connections={}", parts.listener.tasks.len());
        }
        parts.listener.aborting.cancel();
        parts.stopping.cancel();
        parts.services.close();
        let ends = async {
            parts.listener.tasks.wait().await;
            parts.relays.wait().await;
            parts.services.wait().await;
            parts.pool.close().await;
        };
        if tokio::time::timeout(JOIN_LIMIT, ends).await.is_err() {
            warn!("event=join_incomplete node={}", self.options.name);
        }
        info!("event=ended node={} complete={is_complete}", self.options.name);
        is_complete
    }
}

fn scheduler_options(options: &NodeOptions) -> SchedulerOptions {
    SchedulerOptions {
        failure_domain: options.failure_domain.clone(),
        budget: options.retry_budget,
        version_limit_ms: options.stale_version_limit.as_millis() as u64,
        seed: rand::random(),
    }
}

fn serve_readiness(
    socket: TcpListener,
    listener: &CallerListener,
    services: &TaskTracker,
    stopping: &CancellationToken,
) {
    let (gateway, draining) = (listener.gateway.clone(), listener.draining.clone());
    let answer = move |_path: String| {
        let is_ready = gateway.is_configured() && !draining.is_cancelled();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        std::future::ready((status, Vec::new()))
    };
    services.spawn(StatusServer::new(socket).run(answer, stopping.clone()));
}

fn serve_metrics(
    socket: TcpListener,
    metrics: Metrics,
    dispatcher: Dispatcher,
    services: &TaskTracker,
    stopping: &CancellationToken,
) {
    let answer = move |path: String| {
        let (metrics, dispatcher) = (metrics.clone(), dispatcher.clone());
        async move {
            match path.as_str() {
                "/metrics" => (StatusCode::OK, metrics.to_text()),
                "/dump" => match dispatcher.dump().await {
                    Some(dump) => (StatusCode::OK, dump.to_string().into_bytes()),
                    None => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
                },
                _ => (StatusCode::NOT_FOUND, Vec::new()),
            }
        }
    };
    services.spawn(StatusServer::new(socket).run(answer, stopping.clone()));
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(BindSnafu { address })
}

async fn bind_some(address: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    match address {
        None => Ok(None),
        Some(address) => bind(address).await.map(Some),
    }
}
