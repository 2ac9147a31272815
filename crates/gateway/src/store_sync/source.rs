//! Selects the source of a node's store updates.
//!
//! Releases and roll-outs change an item several times a second in a fleet of some hundred nodes.
//! If every node watched the store, each change would cost as many calls as there are nodes.
//! Instead, a few nodes of each failure domain watch the store. The others poll one of these
//! watchers, fall back to the next one if it fails, and to the store itself if both fail.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::cluster_view::Member;

/// In a fleet of up to this many nodes, each node watches the store.
const ALL_WATCH_NODES_LIMIT: usize = 12;

/// The number of nodes per failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// How long a watcher is skipped after a failure.
const FAILURE_BACKOFF_MS: u64 = 3_000;

/// A source of store updates.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Source {
    /// The store itself.
    Store,
    /// A peer that watches the store, by its address.
    Watcher(SocketAddr),
}

/// Selects the source of store updates for a node.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    node: String,
    failure_domain: String,
    last_failure_ms: HashMap<SocketAddr, u64>,
}

impl SourceSelector {
    /// Creates the selector of a node.
    pub fn new(node: String, failure_domain: String) -> Self {
        Self { node, failure_domain, last_failure_ms: HashMap::new() }
    }

    /// Selects the source, given the known members.
    pub fn choose(&self, members: &[Member], now_ms: u64) -> Source {
        if members.len() <= ALL_WATCH_NODES_LIMIT {
            return Source::Store;
        }
        let mut local: Vec<&Member> =
            members.iter().filter(|m| m.failure_domain == self.failure_domain).collect();
        // Fast links first: a watcher sends each configuration to many nodes.
        local.sort_by(|a, b| b.link_mbps.cmp(&a.link_mbps).then_with(|| a.name.cmp(&b.name)));
        let watchers = &local[..local.len().min(WATCHERS_PER_DOMAIN)];
        if watchers.iter().any(|watcher| watcher.name == self.node) {
            return Source::Store;
        }
        // The offset makes about half of the nodes start with each of the two watchers.
        let offset = self.node.bytes().map(usize::from).sum::<usize>();
        let candidates = (0..watchers.len()).map(|step| watchers[(offset + step) % watchers.len()]);
        let mut available = candidates.filter(|watcher| {
            self.last_failure_ms
                .get(&watcher.address)
                .is_none_or(|at_ms| now_ms.saturating_sub(*at_ms) >= FAILURE_BACKOFF_MS)
        });
        available.next().map_or(Source::Store, |watcher| Source::Watcher(watcher.address))
    }

    /// Records that a watcher did not respond, or has lost the store itself.
    pub fn record_failure(&mut self, watcher: SocketAddr, now_ms: u64) {
        self.last_failure_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < FAILURE_BACKOFF_MS);
        self.last_failure_ms.insert(watcher, now_ms);
    }
}
