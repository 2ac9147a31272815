//! The health of an upstream, from the outcomes of this node's requests.
//!
//! Covers upstreams that pass their health check but fail some requests, or that accept no
//! connections. Failures enter an exponential moving average. Above a threshold the upstream is
//! ejected, longer each time, and returns on probation with one request at a time.

use serde::Serialize;

/// The weight of one outcome in the moving average.
const OUTCOME_WEIGHT: f64 = 0.15;

/// The failure share above which an upstream is ejected: three or four failures in a row.
const EJECTION_SHARE: f64 = 0.38;

/// The duration of the first ejection, and the maximum.
const EJECTION_MS: u64 = 1_000;
const EJECTION_LIMIT_MS: u64 = 8_000;

/// The outcome of a request as evidence of the upstream's health.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// The upstream served it.
    Served,
    /// The upstream refused it without running it, which indicates load rather than bad health.
    Refused,
    /// It failed.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// Nothing listens at its address.
    NoListener,
    /// It ended for a reason unrelated to the upstream's health, such as a disconnected caller.
    Unknown,
}

/// The health of one upstream.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Health {
    failure_share: f64,
    #[serde(rename = "resting_until_ms")]
    ejected_until_ms: u64,
    #[serde(rename = "rests")]
    ejections: u32,
    on_probation: bool,
}

impl Health {
    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns whether the upstream gets one request at a time.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Returns the moving average of failures, from zero to one.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records an outcome. Returns whether the upstream is ejected by it.
    pub fn observe(&mut self, verdict: Verdict, now_ms: u64) -> bool {
        match verdict {
            Verdict::Unknown | Verdict::Refused => return false,
            Verdict::Served => {
                self.failure_share *= 1.0 - OUTCOME_WEIGHT;
                self.on_probation = false;
                if self.failure_share < EJECTION_SHARE / 4.0 {
                    self.ejections = 0;
                }
                return false;
            }
            Verdict::Failed => {
                self.failure_share += (1.0 - self.failure_share) * OUTCOME_WEIGHT;
            }
            Verdict::Unreachable | Verdict::NoListener => {
                self.failure_share = self.failure_share.max(EJECTION_SHARE)
            }
        }
        if self.is_ejected(now_ms) || (self.failure_share < EJECTION_SHARE && !self.on_probation) {
            return false;
        }
        let ejection_ms = (EJECTION_MS << self.ejections.min(8)).min(EJECTION_LIMIT_MS);
        self.ejected_until_ms = now_ms + ejection_ms;
        self.ejections += 1;
        self.on_probation = true;
        // One failed probe is enough to eject the upstream again.
        self.failure_share = self.failure_share.min(EJECTION_SHARE);
        true
    }
}
