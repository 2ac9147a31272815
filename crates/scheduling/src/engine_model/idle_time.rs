//! The time of a plain request at an upstream that is not busy.

/// How long a minimum counts at least. A service that became slower for good is known as such after
/// twice this time; one that is always busy would be taken for a slow one by then, so the time is
/// longer than usual peaks.
const BUCKET_MS: u64 = 15_000;

/// The least mean time of the last seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(super) struct IdleTime {
    current_ms: Option<f64>,
    previous_ms: Option<f64>,
    since_ms: u64,
}

impl IdleTime {
    /// Adds a mean time, and returns the least one.
    pub(super) fn observe(&mut self, time_ms: f64, now_ms: u64) -> f64 {
        if now_ms.saturating_sub(self.since_ms) >= BUCKET_MS {
            self.previous_ms = self.current_ms.take();
            self.since_ms = now_ms;
        }
        let current_ms = self.current_ms.map_or(time_ms, |known_ms| known_ms.min(time_ms));
        self.current_ms = Some(current_ms);
        self.previous_ms.map_or(current_ms, |previous_ms| previous_ms.min(current_ms))
    }
}
