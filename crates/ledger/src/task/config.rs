//! The settings of the ledger task.

/// How long the ledger waits for what.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LedgerConfig {
    /// How long one call to the store may take before its answer counts as lost.
    pub call_timeout_ms: u64,
    /// How long a peer may take for a forwarded claim.
    pub forward_timeout_ms: u64,
    /// How long a peer may take for a forwarded finish or withdrawal, which it lets linger.
    pub forward_settle_timeout_ms: u64,
    /// How long a caller waits for its order to be recorded.
    pub record_deadline_ms: u64,
    /// The longest time from a claim's submission to the sending of its order.
    pub send_limit_ms: u64,
    /// How long the ledger tries to record a finish or a withdrawal.
    pub settle_deadline_ms: u64,
    /// The time between two rounds of removing old records.
    pub maintain_interval_ms: u64,
    /// The longest time without a beat of the task before the process counts as paused.
    pub pause_limit_ms: u64,
    /// How long a process that was paused refuses orders: their requests may have waited in its
    /// sockets for as long as the pause.
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
