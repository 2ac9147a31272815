//! The list of instances, which tells of each change late.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Whether an instance takes new work.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance runs.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name.
    pub name: String,
    /// The address it serves on.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether it takes new work.
    pub state: ListedState,
}

#[derive(Debug, Default)]
struct Versions {
    lag: Duration,
    shown: Vec<ListedInstance>,
    pending: Vec<(Instant, Vec<ListedInstance>)>,
    down: bool,
    reads: u64,
}

/// The list with its lag. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct LaggingList {
    versions: Arc<Mutex<Versions>>,
}

impl LaggingList {
    /// Makes an empty list.
    pub fn new(lag_ms: u64) -> Self {
        let list = Self::default();
        list.set_lag(lag_ms);
        list
    }

    /// Sets how late the list tells of later changes.
    pub fn set_lag(&self, lag_ms: u64) {
        self.versions.lock().expect("no holder panics").lag = Duration::from_millis(lag_ms);
    }

    /// Switches the list off or on.
    pub fn set_down(&self, down: bool) {
        self.versions.lock().expect("no holder panics").down = down;
    }

    /// Replaces the list, to be shown after the lag; the first one shows at once.
    pub fn set(&self, list: Vec<ListedInstance>) {
        let mut versions = self.versions.lock().expect("no holder panics");
        if versions.shown.is_empty() && versions.pending.is_empty() {
            versions.shown = list;
            return;
        }
        let due = Instant::now() + versions.lag;
        versions.pending.push((due, list));
    }

    /// Returns how often the list was read.
    pub fn reads(&self) -> u64 {
        self.versions.lock().expect("no holder panics").reads
    }

    /// Returns the list as it shows now, or none while it is switched off.
    pub fn shown(&self) -> Option<Vec<ListedInstance>> {
        let now = Instant::now();
        let mut versions = self.versions.lock().expect("no holder panics");
        versions.reads += 1;
        let due = versions.pending.iter().take_while(|(due, _)| *due <= now).count();
        let newest = versions.pending.drain(..due).next_back();
        if let Some((_, list)) = newest {
            versions.shown = list;
        }
        (!versions.down).then(|| versions.shown.clone())
    }
}
