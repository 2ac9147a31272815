//! The load of an engine: its last report, corrected by the requests this node has sent since.
//!
//! A report describes a past state of the engine. Since then the engine has prefilled some of the
//! waiting tokens, and this node has sent more requests. A fluid queue models both.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::rates::ModelRates;

/// The maximum number of sent requests recorded per engine. By then reports include older ones.
const MAX_SENT_REQUESTS: usize = 256;

/// The time after which a sent request is dropped even without a report.
const SENT_RETENTION_MS: u64 = 5_000;

/// The identifier of one start of an engine process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Parses an incarnation as sent by engines: a number, or the hash of any other text.
    pub fn parse(text: &str) -> Self {
        Self(text.parse().unwrap_or_else(|_| xxh3_64(text.as_bytes())))
    }
}

/// The weights version of an engine, as a hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct WeightsTag(pub u64);

impl WeightsTag {
    /// Returns the tag of a weights version.
    pub fn of(weights_version: &str) -> Self {
        Self(xxh3_64(weights_version.as_bytes()))
    }
}

/// One start of an engine and the weights it serves.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineStart {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The weights version.
    pub weights: WeightsTag,
}

/// A load report of an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's start and weights.
    pub start: EngineStart,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sent_ms: u64,
    tokens: u64,
}

/// The load of an engine, as known to this node.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    start: Option<EngineStart>,
    start_observed_ms: u64,
    report: Option<LoadReport>,
    observed_ms: u64,
    restarted_ms: Option<u64>,
    sent_requests: VecDeque<SentRequest>,
    in_flight: u32,
    // The maximum number of running requests while others waited; zero until some waited.
    slots: u32,
}

impl EngineLoad {
    /// Processes a load report. A report older than the last one is ignored. Returns whether the
    /// report shows that the engine restarted.
    pub fn observe(&mut self, report: LoadReport, observed_ms: u64) -> bool {
        if self.report.is_some() && observed_ms < self.observed_ms {
            return false;
        }
        let restarted = self.observe_start(report.start, observed_ms);
        if report.waiting > 0 {
            self.slots = self.slots.max(report.running);
        }
        self.report = Some(report);
        self.observed_ms = observed_ms;
        while self.sent_requests.front().is_some_and(|request| request.sent_ms <= observed_ms) {
            self.sent_requests.pop_front();
        }
        restarted
    }

    /// Processes the start named in a response. Returns whether it is the current start of the
    /// engine.
    pub fn observe_start_in_response(
        &mut self,
        start: EngineStart,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let differs = self.start.is_some_and(|known| known.incarnation != start.incarnation);
        // A response to a request sent before the current start was observed may belong to an
        // earlier start.
        if differs && sent_ms < self.start_observed_ms {
            return false;
        }
        self.observe_start(start, now_ms);
        true
    }

    /// Updates the current start. Returns whether the engine restarted.
    fn observe_start(&mut self, start: EngineStart, now_ms: u64) -> bool {
        let known = self.start.replace(start);
        if known.is_some_and(|known| known.incarnation == start.incarnation) {
            return false;
        }
        self.start_observed_ms = now_ms;
        if known.is_none() {
            return false;
        }
        self.report = None;
        self.restarted_ms = Some(now_ms);
        self.sent_requests.clear();
        true
    }

    /// Records a request sent to the engine.
    pub fn record_sent(&mut self, tokens: u64, now_ms: u64) {
        self.in_flight += 1;
        let oldest_ms = now_ms.saturating_sub(SENT_RETENTION_MS);
        let is_stale = |request: &SentRequest| request.sent_ms < oldest_ms;
        while self.sent_requests.len() >= MAX_SENT_REQUESTS
            || self.sent_requests.front().is_some_and(is_stale)
        {
            self.sent_requests.pop_front();
        }
        self.sent_requests.push_back(SentRequest { sent_ms: now_ms, tokens });
    }

    /// Records the end of a request sent to the engine.
    pub fn record_finished(&mut self, sent_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(position) =
            self.sent_requests.iter().position(|request| request.sent_ms == sent_ms)
        {
            self.sent_requests.remove(position);
        }
    }

    /// Returns the expected wait of a new request, in milliseconds: the wait for a slot and for the
    /// prefill of the prompts queued before it.
    pub fn expected_wait_ms(&self, rates: &ModelRates, now_ms: u64) -> f64 {
        let ms_per_token = rates.ms_per_token();
        let backlog_ms = self.backlog_tokens(rates, now_ms) * ms_per_token;
        let excess_requests = (self.requests() + 1).saturating_sub(self.slots);
        let slot_ms = match self.slots {
            0 => 0.0,
            slots => f64::from(excess_requests) / f64::from(slots) * rates.request_ms(),
        };
        backlog_ms + slot_ms
    }

    /// Returns the estimated number of requests at the engine: those reported and those sent since.
    pub fn requests(&self) -> u32 {
        let reported = self.report.map_or(0, |report| report.running + report.waiting);
        let sent_since_report = self.sent_requests.len() as u32;
        self.in_flight.max(reported + sent_since_report)
    }

    /// Returns the number of requests of this node in flight at the engine.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the current start of the engine, if known.
    pub fn start(&self) -> Option<EngineStart> {
        self.start
    }

    /// Returns the last report.
    pub fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns whether the engine restarted, with an empty cache, within the last `window_ms`.
    pub fn restarted_within(&self, window_ms: u64, now_ms: u64) -> bool {
        self.restarted_ms.is_some_and(|at_ms| now_ms < at_ms + window_ms)
    }

    fn backlog_tokens(&self, rates: &ModelRates, now_ms: u64) -> f64 {
        let ms_per_token = rates.ms_per_token();
        // Engines report the tokens of whole prompts, most of which may be cached.
        let reported = self.report.map_or(0, |report| report.waiting_tokens);
        let mut backlog = reported as f64 * rates.uncached_share();
        let mut at_ms = self.observed_ms;
        for request in &self.sent_requests {
            backlog = remaining_after(backlog, request.sent_ms.saturating_sub(at_ms), ms_per_token);
            backlog += request.tokens as f64;
            at_ms = at_ms.max(request.sent_ms);
        }
        remaining_after(backlog, now_ms.saturating_sub(at_ms), ms_per_token)
    }
}

fn remaining_after(tokens: f64, elapsed_ms: u64, ms_per_token: f64) -> f64 {
    (tokens - elapsed_ms as f64 / ms_per_token).max(0.0)
}
