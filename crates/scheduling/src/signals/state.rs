//! What one start of an upstream has said of itself so far.

use super::RateGate;

/// The statements of one start of an upstream. Times are in milliseconds on the node's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignalState {
    /// Limits this node's requests if the upstream named a rate limit.
    pub gate: RateGate,
    /// When the upstream said first that it leaves. It does not come back.
    pub leaving_since_ms: Option<u64>,
    /// Whether it sent a signal that could not be decoded.
    pub has_invalid_signal: bool,
}

impl SignalState {
    /// Returns whether the upstream wants no request from this node now.
    pub fn is_closed(&self) -> bool {
        self.leaving_since_ms.is_some() || self.gate.is_closed()
    }

    /// Returns whether there is anything to remember while the upstream is not listed.
    pub fn is_significant(&self) -> bool {
        self.leaving_since_ms.is_some() || self.gate.limit().is_some()
    }

    /// Records that the upstream leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now_ms: u64) -> bool {
        let is_new = self.leaving_since_ms.is_none();
        self.leaving_since_ms.get_or_insert(now_ms);
        is_new
    }
}
