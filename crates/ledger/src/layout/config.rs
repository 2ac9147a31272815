//! The settings of both layouts.

/// How a layout batches, bounds and keeps what it writes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LayoutConfig {
    /// Shards of each service.
    pub shards: u16,
    /// The shortest time between two writes of one shard.
    pub commit_interval_ms: u64,
    /// How long a finish waits for a claim to be written with.
    pub finish_linger_ms: u64,
    /// The pause after a call that failed.
    pub retry_backoff_ms: u64,
    /// The time span of one page.
    pub page_span_ms: u64,
    /// The most records of one page.
    pub page_records_limit: usize,
    /// How long the known pages of a shard are trusted without a word from the store.
    pub view_ttl_ms: u64,
    /// The shortest time for which the key of a record is kept after its page was sealed.
    pub key_retention_min_ms: u64,
    /// For how many retained windows the key of a record is kept after its page was sealed.
    pub key_retention_windows: u64,
}

impl Default for LayoutConfig {
    fn default() -> Self {
        Self {
            shards: 4,
            commit_interval_ms: 20,
            finish_linger_ms: 250,
            retry_backoff_ms: 50,
            page_span_ms: 60_000,
            page_records_limit: 32,
            view_ttl_ms: 60_000,
            key_retention_min_ms: 600_000,
            key_retention_windows: 8,
        }
    }
}

impl LayoutConfig {
    /// How long a key is kept after its record was last changed.
    pub(crate) fn key_retention_ms(&self, window_ms: u64) -> u64 {
        window_ms.saturating_mul(self.key_retention_windows).max(self.key_retention_min_ms)
    }
}
