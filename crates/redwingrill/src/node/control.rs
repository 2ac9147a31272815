//! The parts that decide: configuration, admission and placement, roll-out, and the cluster.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

use tokio::sync::watch;

use super::wiring::Wiring;
use crate::cluster::Bound;
use crate::cluster::ClusterHandle;
use crate::cluster::ClusterParts;
use crate::cluster::PeerChunks;
use crate::configuration::Configuration;
use crate::configuration::Rollout;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchOptions;
use crate::dispatch::Dispatcher;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;

/// The deciding parts of a node.
#[derive(Debug)]
pub(super) struct Control {
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    // These three are absent if the configuration was given by hand, the cluster also without peers.
    pub followed: Option<Configuration>,
    pub rollout: Option<Rollout>,
    pub cluster: Option<ClusterHandle>,
    pub dispatcher: Dispatcher,
}

impl Control {
    /// Spawns the parts. A configuration that is given by hand takes the place of the platform's.
    pub fn start(
        wiring: &Wiring<'_>,
        given: Option<watch::Receiver<Arc<Snapshot>>>,
        bound: Option<Bound>,
    ) -> Self {
        match given {
            Some(configuration) => Self::by_hand(wiring, configuration),
            None => Self::following(wiring, bound),
        }
    }

    fn by_hand(wiring: &Wiring<'_>, configuration: watch::Receiver<Arc<Snapshot>>) -> Self {
        let (dispatcher, dispatch) = dispatch(wiring, &configuration);
        poll_loads(wiring, &dispatch, &Arc::new(AtomicBool::new(true)));
        wiring.tasks.spawn(dispatch.run());
        Self { configuration, followed: None, rollout: None, cluster: None, dispatcher }
    }

    fn following(wiring: &Wiring<'_>, bound: Option<Bound>) -> Self {
        let names: Arc<Mutex<Names>> = Arc::default();
        let source = bound.as_ref().map_or_else(PeerChunks::none, Bound::chunks);
        let followed = wiring.follow(source, names.clone());
        let configuration = followed.snapshots();
        let (dispatcher, dispatch) = dispatch(wiring, &configuration);
        let asks_all_engines = Arc::new(AtomicBool::new(true));
        poll_loads(wiring, &dispatch, &asks_all_engines);
        let rollout = wiring.roll_out(followed.snapshots(), &dispatch.engine_metadata());
        wiring.tasks.spawn(dispatch.run());
        let cluster = bound.map(|bound| {
            let parts = ClusterParts {
                configuration: configuration.clone(),
                names,
                cache: followed.cache(),
                dispatcher: dispatcher.clone(),
                pool: wiring.pool.clone(),
                instances: wiring.instances(),
                asks_all_engines,
            };
            bound.run(parts, &wiring.tasks, wiring.stopping.clone())
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

fn poll_loads(wiring: &Wiring<'_>, dispatch: &Dispatch, asks_all_engines: &Arc<AtomicBool>) {
    let poll = dispatch.load_poll(wiring.pool.clone(), asks_all_engines.clone());
    wiring.tasks.spawn(poll.run());
}
