//! Ejection of failing engines and their gradual return.

use serde::Serialize;

/// The consecutive failures that eject an engine.
const EJECTION_FAILURES: u32 = 3;

/// The duration of the first ejection, and the maximum. The duration doubles with each ejection.
const INITIAL_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 30_000;

/// The time in which a returning engine ramps up to its full limit.
const RAMP_UP_MS: u64 = 5_000;

/// The share of its limit at which a returning engine starts.
const RAMP_UP_INITIAL_SHARE: f64 = 0.1;

/// The health state of an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// The engine receives requests up to its full limit.
    #[default]
    Healthy,
    /// The engine receives no requests until the ejection ends.
    Ejected {
        /// The end of the ejection.
        until_ms: u64,
    },
    /// The engine receives requests up to a growing share of its limit.
    Returning {
        /// The start of the ramp-up.
        since_ms: u64,
    },
}

/// The health of one engine as this node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineHealth {
    state: HealthState,
    consecutive_failures: u32,
    ejections: u32,
}

impl EngineHealth {
    /// Returns the health state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Records a request that the engine served.
    pub fn record_success(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
        let HealthState::Returning { since_ms } = self.state else { return };
        if now_ms >= since_ms + RAMP_UP_MS {
            *self = Self::default();
        }
    }

    /// Records that no connection to the engine can be opened. Returns whether this ejects it.
    ///
    /// A single such failure ejects, since each further request would only cost another retry.
    pub fn record_unreachable(&mut self, now_ms: u64) -> bool {
        self.consecutive_failures = EJECTION_FAILURES;
        self.record_failure(now_ms)
    }

    /// Records a failure of the engine. Returns whether this ejects it.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.consecutive_failures += 1;
        let is_returning = matches!(self.state, HealthState::Returning { .. });
        let is_ejected = matches!(self.state, HealthState::Ejected { .. });
        if is_ejected || (self.consecutive_failures < EJECTION_FAILURES && !is_returning) {
            return false;
        }
        let ejection_ms = (INITIAL_EJECTION_MS << self.ejections.min(10)).min(MAX_EJECTION_MS);
        self.state = HealthState::Ejected { until_ms: now_ms + ejection_ms };
        self.ejections += 1;
        self.consecutive_failures = 0;
        true
    }

    /// Starts the ramp-up of an engine that restarted with an empty cache.
    pub fn record_restart(&mut self, now_ms: u64) {
        self.state = HealthState::Returning { since_ms: now_ms };
        self.consecutive_failures = 0;
    }

    /// Returns the share of its limit that the engine may use, from 0 to 1. Ends an ejection whose
    /// time has passed.
    pub fn limit_share(&mut self, now_ms: u64) -> f64 {
        if let HealthState::Ejected { until_ms } = self.state {
            if now_ms < until_ms {
                return 0.0;
            }
            self.state = HealthState::Returning { since_ms: until_ms };
        }
        match self.state {
            HealthState::Returning { since_ms } => {
                let age_ms = now_ms.saturating_sub(since_ms) as f64;
                (RAMP_UP_INITIAL_SHARE + age_ms / RAMP_UP_MS as f64).min(1.0)
            }
            _ => 1.0,
        }
    }
}
