//! Starting the part.

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
use super::feed::Feed;
use super::handler::PeerHandler;
use super::messages::ClusterHandle;
use super::messages::Inbox;
use super::messages::View;
use super::names::KeyNames;
use super::polls::Polls;
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

/// The endpoint for peers did not start.
#[derive(Debug, Snafu)]
#[snafu(display("peers: {source}"))]
pub struct BindError {
    source: redwingrill_peer::StartError,
}

/// The part with its address bound. Calls of peers wait until it runs.
#[derive(Debug)]
pub struct Bound {
    peers: PeerEndpoint<PeerHandler>,
    handler: PeerHandler,
    handle: ClusterHandle,
    inbox: Inbox,
    view: watch::Sender<View>,
    options: ClusterOptions,
}

/// What the part is joined to.
#[derive(Debug)]
pub struct ClusterParts<I> {
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    /// The names that this process has interned.
    pub names: Arc<Mutex<Names>>,
    /// What peers may be handed.
    pub cache: ConfigCache,
    /// The dispatch task.
    pub dispatcher: Dispatcher,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The platform's list of instances.
    pub instances: I,
    /// Set by the part: whether this node asks all engines for their load itself.
    pub asks_all_engines: Arc<AtomicBool>,
}

impl Bound {
    /// Binds the address for peers; none without a `[tls]` section.
    ///
    /// # Errors
    ///
    /// See [`BindError`].
    pub fn new(settings: &Settings) -> Result<Option<Self>, BindError> {
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
        let (view, _) = watch::channel(View { live_nodes: 1, ..View::default() });
        Ok(Some(Self { peers, handler, handle, inbox, view, options }))
    }

    /// Returns the peers as a source of configuration.
    pub fn chunks(&self) -> PeerChunks {
        PeerChunks::new(self.peers.clone(), self.view.subscribe())
    }

    /// Spawns the task on `tasks`; it ends, with all that it spawned joined, on `cancel`.
    pub fn run<I: InstanceList>(
        self,
        parts: ClusterParts<I>,
        tasks: &TaskTracker,
        cancel: CancellationToken,
    ) -> ClusterHandle {
        let clock = Clock::start();
        let mut rng = SmallRng::seed_from_u64(self.options.boot);
        let polls_rng = SmallRng::seed_from_u64(rng.random());
        self.handler.serve_from(parts.cache.clone());
        let task = ClusterTask {
            cluster: Cluster::new(clock.now_ms(), self.options),
            inbox: self.inbox,
            actions: Actions {
                peers: self.peers,
                instances: parts.instances,
                pool: parts.pool,
                task: self.handle.clone(),
                spawned: TaskTracker::new(),
                addresses: HashMap::new(),
                callers: HashMap::new(),
            },
            feed: Feed::new(parts.dispatcher),
            polls: Polls::new(clock.now_ms(), polls_rng),
            configuration: parts.configuration,
            cache: parts.cache,
            view: self.view,
            asks_all: parts.asks_all_engines,
            clock,
            names: KeyNames::default(),
            interned: parts.names,
            listed: BTreeSet::new(),
            reported: BTreeSet::new(),
            fed_ms: 0,
            top_asked_ms: 0,
        };
        tasks.spawn(task.run(cancel));
        self.handle
    }
}
