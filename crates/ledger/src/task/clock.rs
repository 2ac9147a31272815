//! The wall clock.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A source of wall-clock time, in milliseconds since the Unix epoch.
#[derive(Clone)]
pub struct WallClock(Arc<dyn Fn() -> u64 + Send + Sync>);

impl WallClock {
    /// Creates a clock from a function that returns the time in milliseconds.
    pub fn new(now_ms: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        Self(Arc::new(now_ms))
    }

    /// Creates a clock that reads the system clock.
    pub fn system() -> Self {
        Self::new(|| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            since_epoch.as_millis() as u64
        })
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        (self.0)()
    }
}

impl fmt::Debug for WallClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "WallClock({})", self.now_ms())
    }
}
