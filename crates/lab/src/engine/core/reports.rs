//! What an engine reports of itself.

use tokio::time::Instant;

use super::Core;
use super::LoadReport;
use super::add;
use crate::engine::Totals;
use crate::engine::cache_events::CacheEvent;

impl Core {
    /// Makes the present load the one that is reported.
    pub fn publish_load(&self) {
        let mut state = self.lock();
        state.reported = state.load();
    }

    /// Returns the load as reported, which lags.
    pub fn reported_load(&self) -> LoadReport {
        let state = self.lock();
        if self.options.load_lag_ms == 0 { state.load() } else { state.reported.clone() }
    }

    /// Returns the incarnation and the cache events after a number.
    pub fn cache_events(&self, after: u64) -> (String, Vec<CacheEvent>) {
        let state = self.lock();
        (format!("{:016x}", state.incarnation), state.events.after(after, Instant::now()))
    }

    /// Returns the totals over all incarnations.
    pub fn totals(&self) -> Totals {
        let state = self.lock();
        add(state.past_totals, state.batch.totals())
    }
}
