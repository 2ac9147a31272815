//! The rate-limited weight store, as far as engines feel it.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

const LOAD_MS: u64 = 2_500;

/// The time that loads of weights take. Loads beyond the parallel limit slow all later ones down.
#[derive(Debug)]
pub struct WeightLoader {
    parallel_limit: u32,
    loading: AtomicU32,
    most_loading: AtomicU32,
}

impl Default for WeightLoader {
    fn default() -> Self {
        Self::new(3)
    }
}

impl WeightLoader {
    /// Makes a loader that serves so many engines at full speed.
    pub fn new(parallel_limit: u32) -> Self {
        Self { parallel_limit, loading: AtomicU32::new(0), most_loading: AtomicU32::new(0) }
    }

    /// Returns the most loads that ran at the same time.
    pub fn most_loading(&self) -> u32 {
        self.most_loading.load(Ordering::Acquire)
    }

    /// Waits as long as one load takes.
    pub async fn load(&self) {
        let loading = self.loading.fetch_add(1, Ordering::AcqRel) + 1;
        self.most_loading.fetch_max(loading, Ordering::AcqRel);
        let over = u64::from(loading.div_ceil(self.parallel_limit.max(1)));
        tokio::time::sleep(Duration::from_millis(LOAD_MS * over)).await;
        self.loading.fetch_sub(1, Ordering::AcqRel);
    }
}
