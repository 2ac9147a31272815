//! Runs the configuration follower on a node.

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

/// Options of the follower.
#[derive(Clone, Debug)]
pub struct ConfigurationOptions {
    /// The interned names of this process.
    pub names: Arc<Mutex<Names>>,
    /// Seed of the follower's jitter; differs between nodes.
    pub seed: u64,
}

/// A handle to the configuration follower of a node. Clones refer to the same follower.
#[derive(Clone, Debug)]
pub struct Configuration {
    snapshots: watch::Receiver<Arc<Snapshot>>,
    cache: ConfigCache,
    status: watch::Receiver<FollowerStatus>,
}

impl Configuration {
    /// Spawns the follower on `tasks`; it runs until `cancel`.
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

    /// Subscribes to the configuration in force.
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.clone()
    }

    /// Returns the cache of the manifest in force and its chunks, which is served to peers.
    pub fn cache(&self) -> ConfigCache {
        self.cache.clone()
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> Value {
        json!(*self.status.borrow())
    }
}
