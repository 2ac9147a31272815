//! Ejection of a failing engine and its slow return.

use serde::Serialize;

/// Failures in a row that eject.
const EJECTION_FAILURES: u32 = 3;

/// The first pause, and the longest.
const INITIAL_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 30_000;

/// How long an engine takes to return to its whole limit.
const RAMP_UP_MS: u64 = 5_000;

/// The share of its limit that a returning engine starts with.
const RAMP_UP_INITIAL_SHARE: f64 = 0.1;

/// Where an engine stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// It gets its share.
    #[default]
    Healthy,
    /// It gets nothing until the pause is over.
    Ejected {
        /// The end of the pause.
        until_ms: u64,
    },
    /// It gets a growing share.
    Returning {
        /// When it began to return.
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
    /// Returns where the engine stands.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Notes a request that the engine served.
    pub fn record_success(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
        let HealthState::Returning { since_ms } = self.state else { return };
        if now_ms >= since_ms + RAMP_UP_MS {
            *self = Self::default();
        }
    }

    /// Notes that no connection to the engine can be opened. Returns whether it is ejected by it.
    ///
    /// Every further request would cost a retry to learn the same.
    pub fn record_unreachable(&mut self, now_ms: u64) -> bool {
        self.consecutive_failures = EJECTION_FAILURES;
        self.record_failure(now_ms)
    }

    /// Notes a fault of the engine. Returns whether it is ejected by it.
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

    /// Begins the slow return of an engine that came back empty.
    pub fn record_restart(&mut self, now_ms: u64) {
        self.state = HealthState::Returning { since_ms: now_ms };
        self.consecutive_failures = 0;
    }

    /// Returns the share of its limit that the engine gets now.
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
