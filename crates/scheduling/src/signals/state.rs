//! What one start of an upstream has said of itself so far.

use super::RateGate;

/// The longest pause that is kept; after it, the upstream may state another one.
const PAUSE_LIMIT_MS: u64 = 600_000;

/// The statements of one start of an upstream. Times are in milliseconds on the node's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignalState {
    /// Limits this node's requests if the upstream named a rate limit.
    pub gate: RateGate,
    /// When the upstream said first that it leaves. It does not come back.
    pub leaving_since_ms: Option<u64>,
    /// Until when the upstream wants no request from this node.
    pub paused_until_ms: u64,
    /// Whether it sent a signal that could not be decoded.
    pub has_invalid_signal: bool,
}

impl SignalState {
    /// Returns whether the upstream wants no request from this node now. A limit that a request may
    /// wait for does not count.
    pub fn is_closed(&self, now_ms: u64) -> bool {
        self.leaving_since_ms.is_some() || now_ms < self.paused_until_ms || self.gate.is_closed()
    }

    /// Returns whether there is anything to remember while the upstream is not listed.
    pub fn is_significant(&self, now_ms: u64) -> bool {
        self.leaving_since_ms.is_some()
            || now_ms < self.paused_until_ms
            || self.gate.limit().is_some()
    }

    /// Records that the upstream wants no request for `pause_ms`. A later pause does not shorten an
    /// earlier one. Returns whether there was no pause before.
    pub fn record_pause(&mut self, pause_ms: u64, now_ms: u64) -> bool {
        let is_new = self.paused_until_ms <= now_ms;
        let until_ms = now_ms.saturating_add(pause_ms.min(PAUSE_LIMIT_MS));
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
        is_new
    }

    /// Records that the upstream leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now_ms: u64) -> bool {
        let is_new = self.leaving_since_ms.is_none();
        self.leaving_since_ms.get_or_insert(now_ms);
        is_new
    }
}
