//! Starts the cluster component.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::actions::Actions;
use super::dispatch_updates::DispatchUpdater;
use super::handler::PeerHandler;
use super::key_index::KeyIndex;
use super::messages::ClusterHandle;
use super::messages::Inbox;
use super::messages::PeerView;
use super::poll_schedule::PollSchedule;
use super::source::PeerChunks;
use super::task::Clock;
use super::task::ClusterTask;
use crate::dispatch::Dispatcher;
use redwingrill_config::ConfigCache;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;
use redwingrill_membership::Cluster;
use redwingrill_membership::ClusterOptions;
use redwingrill_membership::MemberInfo;
use redwingrill_peer::PeerEndpoint;
use redwingrill_peer::PeerEndpointOptions;
use redwingrill_peer::TlsFiles;
use redwingrill_ports::InstanceList;
use redwingrill_settings::Settings;
use redwingrill_transport::Pool;

/// The peer endpoint failed to start.
#[derive(Debug, Snafu)]
#[snafu(display("peers: {source}"))]
pub struct BindError {
    source: redwingrill_peer::StartError,
}

/// The cluster component with its address bound. Peer calls are queued until it runs.
#[derive(Debug)]
pub struct BoundCluster {
    peers: PeerEndpoint<PeerHandler>,
    handler: PeerHandler,
    handle: ClusterHandle,
    inbox: Inbox,
    view: watch::Sender<PeerView>,
    options: ClusterOptions,
}

/// The other components and shared state that the cluster task uses.
#[derive(Debug)]
pub struct ClusterInputs<I> {
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    /// The interned names of this process.
    pub names: Arc<Mutex<Names>>,
    /// The cache of manifest and chunks that is served to peers.
    pub cache: ConfigCache,
    /// The dispatch task.
    pub dispatcher: Dispatcher,
    /// The connection pool to upstreams.
    pub pool: Pool,
    /// The platform's instance list.
    pub instances: I,
    /// Whether this node polls the load of all engines itself. The cluster task sets it.
    pub polls_all_engines: Arc<AtomicBool>,
}

impl BoundCluster {
    /// Binds the peer address; returns none without a `[tls]` section.
    ///
    /// # Errors
    ///
    /// See [`BindError`].
    pub fn bind(settings: &Settings) -> Result<Option<Self>, BindError> {
        let Some(tls) = &settings.tls else { return Ok(None) };
        let tls = TlsFiles {
            ca_file: tls.ca_file.clone(),
            certificate_file: tls.certificate_file.clone(),
            key_file: tls.key_file.clone(),
        };
        let (handle, inbox) = ClusterHandle::new();
        let handler = PeerHandler::new(handle.clone());
        let options = PeerEndpointOptions { listen: settings.node.peer_listen, tls };
        let peers = PeerEndpoint::start(&options, handler.clone()).context(BindSnafu)?;
        let options = ClusterOptions {
            info: MemberInfo {
                name: settings.node.name.clone(),
                address: peers.address(),
                failure_domain: settings.node.failure_domain.clone(),
            },
            seeds: settings.peers.seeds.clone(),
            boot: rand::random(),
        };
        let (view, _) = watch::channel(PeerView { live_nodes: 1, ..PeerView::default() });
        Ok(Some(Self { peers, handler, handle, inbox, view, options }))
    }

    /// Returns the source that fetches the configuration from peers.
    pub fn chunk_source(&self) -> PeerChunks {
        PeerChunks::new(self.peers.clone(), self.view.subscribe())
    }

    /// Spawns the cluster task on `tasks`. It ends on `cancel`, after the tasks that it spawned.
    pub fn run<I: InstanceList>(
        self,
        inputs: ClusterInputs<I>,
        tasks: &TaskTracker,
        cancel: CancellationToken,
    ) -> ClusterHandle {
        let clock = Clock::start();
        let mut rng = SmallRng::seed_from_u64(self.options.boot);
        let polls_rng = SmallRng::seed_from_u64(rng.random());
        self.handler.serve_from(inputs.cache.clone());
        let task = ClusterTask {
            cluster: Cluster::new(clock.now_ms(), self.options),
            inbox: self.inbox,
            actions: Actions {
                peers: self.peers,
                instances: inputs.instances,
                pool: inputs.pool,
                task: self.handle.clone(),
                spawned: TaskTracker::new(),
                addresses: HashMap::new(),
                inbound: HashMap::new(),
            },
            updater: DispatchUpdater::new(inputs.dispatcher),
            poll_schedule: PollSchedule::new(clock.now_ms(), polls_rng),
            configuration: inputs.configuration,
            cache: inputs.cache,
            view: self.view,
            polls_all: inputs.polls_all_engines,
            clock,
            key_index: KeyIndex::default(),
            interned: inputs.names,
            listed_leaving: BTreeSet::new(),
            reported_leaving: BTreeSet::new(),
            dispatch_updated_ms: 0,
            top_accounts_queried_ms: 0,
        };
        tasks.spawn(task.run(cancel));
        self.handle
    }
}
