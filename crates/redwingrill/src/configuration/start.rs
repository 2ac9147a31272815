//! The follower as a part of a node.

use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use redwingrill_config::ChunkSource;
use redwingrill_config::ConfigCache;
use redwingrill_config::Follower;
use redwingrill_config::FollowerHandle;
use redwingrill_config::FollowerStatus;
use redwingrill_config::Snapshot;
use redwingrill_entity::Names;
use redwingrill_ports::Store;

/// What a follower needs beside the store and the peers.
#[derive(Clone, Debug)]
pub struct ConfigurationOptions {
    /// The names that this process has interned.
    pub names: Arc<Mutex<Names>>,
    /// Randomness of this node's own, for its jitter.
    pub seed: u64,
}

/// The configuration of a node. Clones read the same follower.
#[derive(Clone, Debug)]
pub struct Configuration {
    snapshots: watch::Receiver<Arc<Snapshot>>,
    cache: ConfigCache,
    status: watch::Receiver<FollowerStatus>,
}

impl Configuration {
    /// Starts to follow on `tasks` until `cancel`.
    pub fn start<S: Store, C: ChunkSource>(
        store: S,
        source: C,
        options: ConfigurationOptions,
        tasks: &TaskTracker,
        cancel: CancellationToken,
    ) -> Self {
        let (follower, followed) = Follower::new(store, source, options.names, options.seed);
        tasks.spawn(follower.run(cancel));
        let FollowerHandle { snapshots, cache, status } = followed;
        Self { snapshots, cache, status }
    }

    /// Returns a reader of the configuration in force.
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.clone()
    }

    /// Returns what peers may be handed: the manifest in force and chunks.
    pub fn cache(&self) -> ConfigCache {
        self.cache.clone()
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> Value {
        json!(*self.status.borrow())
    }
}
