//! The expected wait of a request that finds others of its class waiting.
//!
//! The load pattern: more requests than the upstreams serve, for many seconds. A queue that takes
//! them all makes each of them wait until it is late, and refuses those that waited in vain. The
//! rate at which the queue moves tells at arrival which requests would wait in vain.

use crate::recent::Recent;

/// The span over which the rate of a queue is measured: one second, without its first millisecond.
const RATE_SPAN_MS: u64 = 999;

/// The requests of a class that have been waiting without a break.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    since_ms: u64,
    departures: Recent<(), RATE_SPAN_MS>,
}

impl Backlog {
    /// Creates the backlog of a class whose first request begins to wait.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { since_ms: now_ms, departures: Recent::default() }
    }

    /// Records that a request got an upstream.
    pub(super) fn record_departure(&mut self, now_ms: u64) {
        self.departures.push((), now_ms);
    }

    /// Returns how long a request waits at least with `ahead` requests before it, in milliseconds:
    /// with two standard deviations more departures than were seen, since few say little of the rate.
    pub(super) fn min_wait_ms(&mut self, ahead: usize, now_ms: u64) -> u64 {
        let span_ms = now_ms.saturating_sub(self.since_ms).min(RATE_SPAN_MS + 1);
        let seen = self.departures.count(now_ms) as f64;
        (ahead as f64 * span_ms as f64 / (seen + 2.0 * (seen + 1.0).sqrt() + 1.0)) as u64
    }
}
