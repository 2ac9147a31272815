//! The state of the ledger task for the dump.

use serde::Serialize;

use crate::layout::LayoutState;

/// How many operations ended in which way.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LedgerCounters {
    /// Operations with a verdict.
    pub settled: u64,
    /// Operations that did not reach the store.
    pub not_written: u64,
    /// Operations that may have reached the store.
    pub maybe_written: u64,
    /// Operations that a peer applied.
    pub forwarded: u64,
    /// Operations that a peer did not answer.
    pub forwards_failed: u64,
}

/// The state of the ledger task.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LedgerState {
    /// The layout.
    pub layout: LayoutState,
    /// Orders that run on this node.
    pub running: usize,
    /// Orders whose outcome is not yet in the store.
    pub finishing: usize,
    /// Whether the ledger is being drained.
    pub draining: bool,
    /// The counters.
    pub counters: LedgerCounters,
}
