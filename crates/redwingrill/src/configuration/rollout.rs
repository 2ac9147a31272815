//! Runs the roll-out task on a node.

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::HttpEngineCommands;
use redwingrill_ports::Store;
use redwingrill_rollout::RolloutInputs;
use redwingrill_rollout::RolloutStatus;
use redwingrill_rollout::RolloutTask;

/// A handle to the roll-out task of a node. Clones refer to the same task.
#[derive(Clone, Debug)]
pub struct Rollout {
    status: watch::Receiver<RolloutStatus>,
}

impl Rollout {
    /// Spawns the roll-out task on `tasks`; it runs until `cancel`. `node` is the name of this node.
    pub fn start<S: Store>(
        store: S,
        commands: HttpEngineCommands,
        inputs: RolloutInputs,
        node: &str,
        tasks: &TaskTracker,
        cancel: CancellationToken,
    ) -> Self {
        let (task, status) = RolloutTask::new(store, commands, inputs);
        let node = node.to_owned();
        tasks.spawn(async move { task.run(&node, rand::random(), cancel).await });
        Self { status }
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> Value {
        json!(*self.status.borrow())
    }
}
