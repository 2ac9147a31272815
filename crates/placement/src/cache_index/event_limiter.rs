//! A rate limit on the cache events that a node processes.

/// The burst size, in seconds of the rate.
const BURST_S: u64 = 2;

/// A token bucket over cache events.
#[derive(Clone, Copy, Debug)]
pub struct EventLimiter {
    events_per_s: u64,
    millievents: u64,
    refilled_ms: u64,
}

impl EventLimiter {
    /// Creates a full bucket that allows `events_per_s` events per second.
    pub fn new(events_per_s: u64) -> Self {
        Self { events_per_s, millievents: events_per_s * BURST_S * 1_000, refilled_ms: 0 }
    }

    /// Takes one event from the bucket. Returns whether it is allowed.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.refilled_ms) * self.events_per_s;
        let capacity = self.events_per_s * BURST_S * 1_000;
        self.millievents = (self.millievents + gained).min(capacity);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        if self.millievents < 1_000 {
            return false;
        }
        self.millievents -= 1_000;
        true
    }
}
