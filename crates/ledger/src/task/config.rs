//! The settings of the ledger task.

/// Timeouts, deadlines and intervals of the ledger task.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LedgerConfig {
    /// The timeout of one call to the store; after it, the response counts as lost.
    pub call_timeout_ms: u64,
    /// The timeout of a claim forwarded to a peer.
    pub forward_timeout_ms: u64,
    /// The timeout of a forwarded finish or withdrawal. It is longer because the peer may delay
    /// these for batching.
    pub forward_settle_timeout_ms: u64,
    /// The deadline for recording a caller's order.
    pub record_deadline_ms: u64,
    /// The maximum time from submitting a claim to sending its order.
    pub send_limit_ms: u64,
    /// The deadline for recording a finish or a withdrawal.
    pub settle_deadline_ms: u64,
    /// The interval between two runs of removing old records.
    pub maintain_interval_ms: u64,
    /// The time without a run of the task after which the process counts as paused.
    pub pause_limit_ms: u64,
    /// How long a node refuses orders after a pause of its process: requests may have been queued
    /// in its sockets for the whole pause.
    pub quarantine_ms: u64,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            call_timeout_ms: 500,
            forward_timeout_ms: 250,
            forward_settle_timeout_ms: 2_000,
            record_deadline_ms: 2_000,
            send_limit_ms: 5_000,
            settle_deadline_ms: 60_000,
            maintain_interval_ms: 30_000,
            pause_limit_ms: 30_000,
            quarantine_ms: 5_000,
        }
    }
}
