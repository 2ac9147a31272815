//! The settings of both layouts.

/// How a layout batches, limits and retains records.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LayoutConfig {
    /// The number of shards per service.
    pub shards: u16,
    /// The minimum time between two writes of one shard.
    pub commit_interval_ms: u64,
    /// How long a finish or a withdrawal is delayed to be batched with a claim.
    pub finish_linger_ms: u64,
    /// The delay after a failed call.
    pub retry_backoff_ms: u64,
    /// The time after which an open page is sealed.
    pub page_span_ms: u64,
    /// The maximum number of records in a page.
    pub page_records_limit: usize,
    /// How long the cached view of a shard is valid without a response from the store.
    pub view_ttl_ms: u64,
    /// The minimum time for which the keys of a sealed page are kept.
    pub key_retention_min_ms: u64,
    /// The number of retention windows for which the keys of a sealed page are kept.
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
    /// Returns how long a key is kept after its record was last changed, in milliseconds.
    pub(crate) fn key_retention_ms(&self, window_ms: u64) -> u64 {
        window_ms.saturating_mul(self.key_retention_windows).max(self.key_retention_min_ms)
    }
}
