//! The state of the ledger task for the state dump.

use serde::Serialize;

use crate::layout::LayoutState;

/// Counts of operations by result.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LedgerCounters {
    /// Operations with a verdict.
    pub settled: u64,
    /// Operations that were not written to the store.
    pub not_written: u64,
    /// Operations that may have been written to the store.
    pub maybe_written: u64,
    /// Operations that a peer applied.
    pub forwarded: u64,
    /// Forwarded operations that got no verdict from the peer.
    pub forwards_failed: u64,
}

/// The state of the ledger task.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LedgerState {
    /// The state of the layout.
    pub layout: LayoutState,
    /// Orders that run on this node.
    pub running: usize,
    /// Orders whose outcome is not yet stored.
    pub finishing: usize,
    /// Whether the ledger is being drained.
    pub draining: bool,
    /// The counters.
    pub counters: LedgerCounters,
}
