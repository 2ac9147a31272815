//! The health of an upstream, by what became of this node's requests.
//!
//! Answers this load: an upstream whose health check is good fails part of its requests, or nothing
//! can be sent to it at all. Failures weigh in by a moving average; beyond a bound the upstream
//! rests, each time longer, and returns with one request at a time.

use serde::Serialize;

/// The weight of one outcome in the moving average.
const OUTCOME_WEIGHT: f64 = 0.15;

/// The failure share beyond which an upstream rests: three or four failures in a row.
const EJECTION_SHARE: f64 = 0.38;

/// The first rest, and the longest.
const EJECTION_MS: u64 = 1_000;
const EJECTION_LIMIT_MS: u64 = 8_000;

/// What became of a request, as far as it tells of the upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// It was answered.
    Served,
    /// It was refused without being run, which tells of load rather than of health.
    Refused,
    /// It failed.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// It ended for a reason that tells nothing, such as a caller that left.
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
    /// Returns whether the upstream rests.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns whether the upstream gets one request at a time.
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Returns the share of requests that failed of late.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Takes in an outcome. Returns whether the upstream begins to rest.
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
            Verdict::Unreachable => self.failure_share = self.failure_share.max(EJECTION_SHARE),
        }
        if self.is_ejected(now_ms) || (self.failure_share < EJECTION_SHARE && !self.on_probation) {
            return false;
        }
        let ejection_ms = (EJECTION_MS << self.ejections.min(8)).min(EJECTION_LIMIT_MS);
        self.ejected_until_ms = now_ms + ejection_ms;
        self.ejections += 1;
        self.on_probation = true;
        // A failed probe needs no second one.
        self.failure_share = self.failure_share.min(EJECTION_SHARE);
        true
    }
}
