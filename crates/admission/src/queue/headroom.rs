//! Slots that less urgent requests leave free for the most urgent ones.
//!
//! An engine gives a freed slot to the most urgent waiting request, but a slot in use by a less
//! urgent request becomes free only when that request ends. While first tokens of the most urgent
//! requests are late, less urgent requests therefore use a smaller share of the slots, until about
//! one in twenty first tokens is late.

/// The minimum usable share.
const MIN_USABLE_SHARE: f64 = 0.4;

/// The changes after a late and an on-time first token. They balance at one late token in twenty.
const LATE_FACTOR: f64 = 0.95;
const ON_TIME_STEP: f64 = 0.002;

/// The delay after the last urgent first token until the share recovers, and the time in which it
/// recovers by one.
const RECOVERY_DELAY_MS: u64 = 1_000;
const RECOVERY_MS: f64 = 4_000.0;

/// The share of slots that less urgent requests may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    usable_share: f64,
    last_first_token_ms: u64,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { usable_share: 1.0, last_first_token_ms: 0 }
    }
}

impl Headroom {
    /// Records a first token of the most urgent priority.
    pub(super) fn record_first_token(&mut self, is_late: bool, now_ms: u64) {
        let share = match is_late {
            true => self.usable_share * LATE_FACTOR,
            false => self.usable_share + ON_TIME_STEP,
        };
        self.usable_share = share.clamp(MIN_USABLE_SHARE, 1.0);
        self.last_first_token_ms = now_ms;
    }

    /// Returns the usable share. Without urgent requests it recovers to one.
    pub(super) fn usable_share(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.last_first_token_ms + RECOVERY_DELAY_MS) as f64;
        (self.usable_share + idle_ms / RECOVERY_MS).min(1.0)
    }
}
