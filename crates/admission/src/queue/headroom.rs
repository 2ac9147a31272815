//! The part of the places that less urgent work leaves free.
//!
//! An engine gives a freed slot to the most urgent request that waits, but a slot that less urgent
//! work holds is freed only when that work ends. Less urgent work therefore uses a smaller share of
//! the places while first tokens of the most urgent work come late, until about one in twenty does.

/// The smallest share.
const MIN_USABLE_SHARE: f64 = 0.4;

/// The change after a late first token, and after one in time. They balance at one late in twenty.
const LATE_FACTOR: f64 = 0.95;
const ON_TIME_STEP: f64 = 0.002;

/// How long after the last urgent first token the share begins to grow back, and how long it takes.
const RECOVERY_DELAY_MS: u64 = 1_000;
const RECOVERY_MS: f64 = 4_000.0;

/// The share of places that less urgent work may use.
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
    /// Takes in a first token of the most urgent work.
    pub(super) fn record_first_token(&mut self, is_late: bool, now_ms: u64) {
        let share = match is_late {
            true => self.usable_share * LATE_FACTOR,
            false => self.usable_share + ON_TIME_STEP,
        };
        self.usable_share = share.clamp(MIN_USABLE_SHARE, 1.0);
        self.last_first_token_ms = now_ms;
    }

    /// Returns the share. Without urgent work all is usable after a while.
    pub(super) fn usable_share(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.last_first_token_ms + RECOVERY_DELAY_MS) as f64;
        (self.usable_share + idle_ms / RECOVERY_MS).min(1.0)
    }
}
