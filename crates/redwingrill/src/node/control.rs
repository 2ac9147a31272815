//! Starts the control components: configuration, dispatch, roll-out, and the cluster.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

use tokio::sync::watch;

use super::wiring::Wiring;
use crate::cluster::BoundCluster;
use crate::cluster::ClusterHandle;
use crate::cluster::ClusterInputs;
use crate::cluster::PeerChunks;
use crate::configuration::Configuration;
use crate::configuration::Rollout;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchOptions;
use crate::dispatch::Dispatcher;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;

/// The control components of a node.
#[derive(Debug)]
pub(super) struct Control {
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    // These three are none with a fixed configuration. The cluster is also none without peers.
    pub followed: Option<Configuration>,
    pub rollout: Option<Rollout>,
    pub cluster: Option<ClusterHandle>,
    pub dispatcher: Dispatcher,
}

impl Control {
    /// Spawns the components. A fixed configuration replaces the one from the platform's store.
    pub fn start(
        wiring: &Wiring<'_>,
        fixed_configuration: Option<watch::Receiver<Arc<Snapshot>>>,
        bound: Option<BoundCluster>,
    ) -> Self {
        match fixed_configuration {
            Some(configuration) => Self::with_fixed_configuration(wiring, configuration),
            None => Self::with_followed_configuration(wiring, bound),
        }
    }

    fn with_fixed_configuration(
        wiring: &Wiring<'_>,
        configuration: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let (dispatcher, dispatch) = dispatch(wiring, &configuration);
        poll_loads(wiring, &dispatch, &Arc::new(AtomicBool::new(true)));
        wiring.tasks.spawn(dispatch.run());
        Self { configuration, followed: None, rollout: None, cluster: None, dispatcher }
    }

    fn with_followed_configuration(wiring: &Wiring<'_>, bound: Option<BoundCluster>) -> Self {
        let names: Arc<Mutex<Names>> = Arc::default();
        let source = bound.as_ref().map_or_else(PeerChunks::none, BoundCluster::chunk_source);
        let followed = wiring.follow(source, names.clone());
        let configuration = followed.snapshots();
        let (dispatcher, dispatch) = dispatch(wiring, &configuration);
        let polls_all_engines = Arc::new(AtomicBool::new(true));
        poll_loads(wiring, &dispatch, &polls_all_engines);
        let rollout = wiring.start_rollout(followed.snapshots(), &dispatch.engine_reports());
        wiring.tasks.spawn(dispatch.run());
        let cluster = bound.map(|bound| {
            let inputs = ClusterInputs {
                configuration: configuration.clone(),
                names,
                cache: followed.cache(),
                dispatcher: dispatcher.clone(),
                pool: wiring.pool.clone(),
                instances: wiring.instances(),
                polls_all_engines,
            };
            bound.run(inputs, &wiring.tasks, wiring.stopping.clone())
        });
        Self {
            configuration,
            followed: Some(followed),
            rollout: Some(rollout),
            cluster,
            dispatcher,
        }
    }
}

fn dispatch(
    wiring: &Wiring<'_>,
    configuration: &watch::Receiver<Arc<Snapshot>>,
) -> (Dispatcher, Dispatch) {
    let options = DispatchOptions { policy: wiring.policy(), seed: rand::random() };
    Dispatch::new(options, configuration.clone())
}

fn poll_loads(wiring: &Wiring<'_>, dispatch: &Dispatch, polls_all_engines: &Arc<AtomicBool>) {
    let poll = dispatch.load_poll(wiring.pool.clone(), polls_all_engines.clone());
    wiring.tasks.spawn(poll.run());
}
