//! The lifecycle of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::Uri;
use log::info;
use log::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::NodeOptions;
use super::NodePorts;
use super::membership::maintain_membership;
use crate::cache_watch::CacheWatch;
use crate::cluster_view::MEMBER_PREFIX;
use crate::cluster_view::Member;
use crate::dispatch::DispatchTask;
use crate::dispatch::Dispatcher;
use crate::dispatch::QuotaNode;
use crate::explain::Explainer;
use crate::forward::CallerQueues;
use crate::forward::Gateway;
use crate::forward::GatewayContext;
use crate::front::CallerListener;
use crate::front::StatusServer;
use crate::peers::Gossip;
use crate::peers::PeerServer;
use crate::quarantine::QuarantineRecorder;
use crate::rollout::GraceTask;
use crate::rollout::RolloutOptions;
use crate::rollout::RolloutTask;
use crate::rollout::WeightsInquiry;
use crate::software::SoftwareReaderTask;
use crate::software::SoftwareRecorder;
use crate::store_sync::StoreSync;
use crate::store_sync::StoreSyncOptions;
use crate::telemetry::Metrics;
use redwingrill_admission::limits::fleet::QuotaMember;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::LivenessCheck;
use redwingrill_routing::SharedStore;
use redwingrill_routing::UpstreamControl;
use redwingrill_scheduling::scheduler::SchedulerOptions;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::Pool;

/// How long a draining node still accepts connections: the load balancer checks readiness every
/// second and takes a node out after two failed checks.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);

/// How long before the end of a stop the requests without a response get one.
const LAST_RESPONSES: Duration = Duration::from_millis(250);

/// The part of the stop timeout that is reserved for the exit of the process.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// The number of upstreams that wait to be asked for their weights.
const MISDIRECTED_QUEUE_LEN: usize = 4;

/// How long the tasks of a node may take to end after its open work.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The error of a node that did not start.
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

/// The state of a node that is not listening yet.
#[derive(Debug)]
pub struct Starting;

/// The state of a node that serves requests.
pub struct Serving {
    components: Components,
}

/// The state of a node that finishes its open work.
pub struct Draining {
    components: Components,
    deadline: Instant,
}

struct Components {
    listener: CallerListener,
    dispatcher: Dispatcher,
    relays: TaskTracker,
    services: TaskTracker,
    stopping: CancellationToken,
    pool: Pool,
}

/// A node in the lifecycle state `L`.
pub struct Node<L> {
    options: NodeOptions,
    state: L,
}

impl Node<Starting> {
    /// Creates a node that is not listening yet.
    pub fn new(options: NodeOptions) -> Self {
        Self { options, state: Starting }
    }

    /// Binds the addresses and starts to serve.
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
        C: UpstreamControl + LivenessCheck,
        D: ItemCodec,
    {
        let options = self.options;
        let caller_socket = bind(options.caller_address).await?;
        let readiness_socket = bind(options.readiness_address).await?;
        let peer_socket = bind_optional(options.peer_address).await?;
        let metrics_socket = bind_optional(options.metrics_address).await?;
        let metrics = Metrics::new();
        let services = TaskTracker::new();
        let stopping = CancellationToken::new();
        let sync_options = StoreSyncOptions {
            node: options.name.clone(),
            failure_domain: options.failure_domain.clone(),
            seeds: options.seeds.clone(),
            upstream_lapse: options.upstream_lapse,
            own_address: options.peer_address,
        };
        let (store_sync, reader, view) = StoreSync::new(
            ports.store.clone(),
            ports.item_codec.clone(),
            sync_options,
            metrics.clone(),
        );
        services.spawn(store_sync.run(stopping.clone()));
        if let Some(socket) = peer_socket {
            services.spawn(PeerServer::new(socket, reader.clone()).run(stopping.clone()));
        }
        let (misdirected, misdirected_receiver) = mpsc::channel(MISDIRECTED_QUEUE_LEN);
        let (dispatcher, mut dispatch_task) = DispatchTask::new(
            scheduler_options(&options),
            view.clone(),
            metrics.clone(),
            misdirected,
        );
        let recorder = QuarantineRecorder::new(
            options.name.clone(),
            ports.store.clone(),
            ports.item_codec.clone(),
            view.clone(),
            dispatch_task.unlisted_parts(),
        );
        services.spawn(recorder.run(stopping.clone()));
        dispatch_task.limit_accounts(options.quotas, quota_node(&options), reader.clone());
        dispatch_task.follow_store(reader.clone());
        if let (Some(address), Some(gossip)) = (options.peer_address, options.gossip_address) {
            let socket = UdpSocket::bind(gossip).await.context(BindSnafu { address: gossip })?;
            let (name, dispatcher) = (options.name.clone(), dispatcher.clone());
            let outgoing = dispatch_task.coordinate(gossip);
            let task =
                Gossip::new(name, socket, view.clone(), dispatcher, reader.clone(), outgoing);
            services.spawn(task.run(stopping.clone()));
            let key = ports.item_codec.own_key(&format!("{MEMBER_PREFIX}{}", options.name));
            let member = Member {
                name: options.name.clone(),
                address,
                gossip,
                failure_domain: options.failure_domain.clone(),
                link_mbps: options.link_mbps,
            };
            let membership = maintain_membership(
                ports.store.clone(),
                key,
                member,
                view.clone(),
                stopping.clone(),
            );
            services.spawn(membership);
        }
        services.spawn(dispatch_task.run(stopping.clone()));
        let (node, control) = (options.name.clone(), ports.control.clone());
        let cache_watch = CacheWatch::new(node, control, view.clone(), dispatcher.clone());
        services.spawn(cache_watch.run(stopping.clone()));
        let liveness = Arc::new(ports.control.clone());
        let inquiry = WeightsInquiry::new(
            ports.control.clone(),
            view.clone(),
            dispatcher.clone(),
            misdirected_receiver,
        );
        services.spawn(inquiry.run(stopping.clone()));
        let grace = GraceTask::new(
            options.name.clone(),
            options.stale_version_limit,
            ports.store.clone(),
            ports.item_codec.as_ref(),
            view.clone(),
        );
        services.spawn(grace.run(stopping.clone()));
        let recorder = SoftwareRecorder::new(
            options.name.clone(),
            options.is_first_start,
            ports.store.clone(),
            ports.item_codec.as_ref(),
            view.clone(),
        );
        services.spawn(recorder.run(stopping.clone()));
        let (software, reader_task) =
            SoftwareReaderTask::new(ports.store.clone(), ports.item_codec.as_ref(), reader.clone());
        services.spawn(reader_task.run(stopping.clone()));
        let rollout = RolloutTask::new(
            RolloutOptions {
                node: options.name.clone(),
                instance: options.peer_address,
                lease: options.rollout_lease,
            },
            ports.store,
            ports.control,
            ports.item_codec.as_ref(),
            view.clone(),
            dispatcher.clone(),
        );
        services.spawn(rollout.run(stopping.clone()));
        let relays = TaskTracker::new();
        let caller_queues = CallerQueues::new(pool.budget(), metrics.clone());
        let explainer = Explainer {
            node: options.name.clone(),
            view: view.clone(),
            dispatcher: dispatcher.clone(),
        };
        let gateway = Gateway::new(GatewayContext {
            head_codec: ports.head_codec,
            view,
            dispatcher: dispatcher.clone(),
            software,
            pool: pool.clone(),
            liveness,
            caller_queues: caller_queues.clone(),
            relays: relays.clone(),
            metrics: metrics.clone(),
        });
        let listener = CallerListener {
            gateway,
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            aborting: CancellationToken::new(),
            tasks: TaskTracker::new(),
            metrics: metrics.clone(),
        };
        serve_readiness(readiness_socket, &listener, &services, &stopping);
        if let Some(socket) = metrics_socket {
            let buffers = Buffers { budget: pool.budget().clone(), caller_queues };
            serve_metrics(socket, metrics, buffers, explainer, &services, &stopping);
        }
        listener.tasks.spawn(listener.clone().run(caller_socket));
        info!("event=serving node={} callers={}", options.name, options.caller_address);
        let components = Components { listener, dispatcher, relays, services, stopping, pool };
        Ok(Node { options, state: Serving { components } })
    }
}

impl Node<Serving> {
    /// Reports the node as not ready, and still accepts connections until the load balancer has
    /// noticed.
    pub async fn drain(self) -> Node<Draining> {
        let deadline = Instant::now() + self.options.stop_timeout.saturating_sub(STOP_MARGIN);
        info!("event=draining node={}", self.options.name);
        let components = self.state.components;
        components.listener.draining.cancel();
        tokio::time::sleep(DRAIN_NOTICE.min(self.options.stop_timeout / 3)).await;
        components.listener.closing.cancel();
        components.listener.tasks.close();
        components.dispatcher.refuse_queued();
        Node { options: self.options, state: Draining { components, deadline } }
    }
}

impl Node<Draining> {
    /// Waits for open work up to the stop timeout, and joins every task. Returns whether all work
    /// was completed in time.
    pub async fn finish(self) -> bool {
        let Draining { components, deadline } = self.state;
        components.relays.close();
        let open_work = async {
            components.listener.tasks.wait().await;
            components.relays.wait().await;
        };
        tokio::pin!(open_work);
        let mut is_complete = timeout_at(deadline - LAST_RESPONSES, &mut open_work).await.is_ok();
        if !is_complete {
            components.listener.ending.cancel();
            is_complete = timeout_at(deadline, &mut open_work).await.is_ok();
        }
        if !is_complete {
            warn!("event=work_cut connections={}", components.listener.tasks.len());
        }
        components.listener.aborting.cancel();
        components.stopping.cancel();
        components.services.close();
        let shutdown = async {
            components.listener.tasks.wait().await;
            components.relays.wait().await;
            components.services.wait().await;
            components.pool.close().await;
        };
        if tokio::time::timeout(JOIN_TIMEOUT, shutdown).await.is_err() {
            warn!("event=join_timed_out node={}", self.options.name);
        }
        info!("event=ended node={} complete={is_complete}", self.options.name);
        is_complete
    }
}

fn scheduler_options(options: &NodeOptions) -> SchedulerOptions {
    SchedulerOptions {
        node: options.name.clone(),
        failure_domain: options.failure_domain.clone(),
        budget: options.retry_budget,
        version_limit_ms: options.stale_version_limit.as_millis() as u64,
        limits_concurrency: options.limits_concurrency,
        seed: rand::random(),
    }
}

fn quota_node(options: &NodeOptions) -> QuotaNode {
    let has_peers = options.peer_address.is_some() && options.gossip_address.is_some();
    QuotaNode {
        member: QuotaMember {
            name: options.name.clone(),
            failure_domain: options.failure_domain.clone(),
            link_mbps: options.link_mbps,
            address: options.gossip_address.unwrap_or(options.caller_address),
        },
        has_peers,
    }
}

fn serve_readiness(
    socket: TcpListener,
    listener: &CallerListener,
    services: &TaskTracker,
    stopping: &CancellationToken,
) {
    let (gateway, draining) = (listener.gateway.clone(), listener.draining.clone());
    let handler = move |_uri: Uri| {
        let is_ready = gateway.is_configured() && !draining.is_cancelled();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        std::future::ready((status, Vec::new()))
    };
    services.spawn(StatusServer::new(socket).run(handler, stopping.clone()));
}

/// What a node buffers.
struct Buffers {
    budget: ByteBudget,
    caller_queues: CallerQueues,
}

fn serve_metrics(
    socket: TcpListener,
    metrics: Metrics,
    buffers: Buffers,
    explainer: Explainer,
    services: &TaskTracker,
    stopping: &CancellationToken,
) {
    let handler = move |uri: Uri| {
        let (metrics, dispatcher) = (metrics.clone(), explainer.dispatcher.clone());
        let explainer = explainer.clone();
        metrics.buffered_bytes(buffers.budget.used_bytes());
        let (slow_callers, unread_bytes) = buffers.caller_queues.usage();
        metrics.slow_callers(slow_callers, unread_bytes);
        async move {
            match uri.path() {
                "/metrics" => (StatusCode::OK, metrics.to_text()),
                "/dump" => match dispatcher.dump().await {
                    Some(dump) => (StatusCode::OK, dump.to_string().into_bytes()),
                    None => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
                },
                "/explain" => explainer.answer(uri.query().unwrap_or_default()).await,
                _ => (StatusCode::NOT_FOUND, Vec::new()),
            }
        }
    };
    services.spawn(StatusServer::new(socket).run(handler, stopping.clone()));
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(BindSnafu { address })
}

async fn bind_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    match address {
        None => Ok(None),
        Some(address) => bind(address).await.map(Some),
    }
}
