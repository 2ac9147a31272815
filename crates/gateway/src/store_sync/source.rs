//! From whom a node hears the news.
//!
//! Answers this load: releases and roll-outs that change an item several times a second, before some
//! hundred nodes. Were all of them to watch the store, each change would cost as many calls as there
//! are nodes. A few nodes of each failure domain watch; the others hear of one of these, of another
//! one if it fails, and of the store itself if both fail.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::cluster_view::Member;

/// Up to this many nodes, each watches the store itself.
const ALL_WATCH_NODES_LIMIT: usize = 12;

/// The nodes of a failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// How long a watcher that failed is passed over.
const FAILED_WATCHER_BACKOFF_MS: u64 = 3_000;

/// From whom to hear.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Source {
    /// The store itself.
    Store,
    /// A node that watches the store.
    Watcher(SocketAddr),
}

/// Chooses the source of a node.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    node: String,
    failure_domain: String,
    failed_ms: HashMap<SocketAddr, u64>,
}

impl SourceSelector {
    /// Makes the choice of a node.
    pub fn new(node: String, failure_domain: String) -> Self {
        Self { node, failure_domain, failed_ms: HashMap::new() }
    }

    /// Chooses by the members that are known.
    pub fn choose(&self, members: &[Member], now_ms: u64) -> Source {
        if members.len() <= ALL_WATCH_NODES_LIMIT {
            return Source::Store;
        }
        let mut local: Vec<&Member> =
            members.iter().filter(|m| m.failure_domain == self.failure_domain).collect();
        // Fast links first: a watcher passes each configuration on to many.
        local.sort_by(|a, b| b.link_mbps.cmp(&a.link_mbps).then_with(|| a.name.cmp(&b.name)));
        let watchers = &local[..local.len().min(WATCHERS_PER_DOMAIN)];
        if watchers.iter().any(|watcher| watcher.name == self.node) {
            return Source::Store;
        }
        // Half of the nodes begin with each of the two.
        let offset = self.node.bytes().map(usize::from).sum::<usize>();
        let candidates = (0..watchers.len()).map(|step| watchers[(offset + step) % watchers.len()]);
        let mut available = candidates.filter(|watcher| {
            self.failed_ms.get(&watcher.address).is_none_or(|failed_at_ms| {
                now_ms.saturating_sub(*failed_at_ms) >= FAILED_WATCHER_BACKOFF_MS
            })
        });
        available.next().map_or(Source::Store, |watcher| Source::Watcher(watcher.address))
    }

    /// Notes that a watcher did not answer, or does not hear the store.
    pub fn record_failure(&mut self, watcher: SocketAddr, now_ms: u64) {
        self.failed_ms.retain(|_, failed_at_ms| {
            now_ms.saturating_sub(*failed_at_ms) < FAILED_WATCHER_BACKOFF_MS
        });
        self.failed_ms.insert(watcher, now_ms);
    }
}
