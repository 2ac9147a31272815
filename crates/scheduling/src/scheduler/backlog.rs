//! The expected wait of a request that finds others of its class waiting.
//!
//! The load pattern: more requests than the upstreams serve, for many seconds. A queue that takes
//! them all makes each of them wait until it is late, and refuses those that waited in vain. The
//! rate at which the queue moves tells which requests would wait in vain: at arrival, and again when
//! a request becomes late or its account is beyond its share, since such requests get only what the
//! others leave.

use super::Rank;
use crate::recent::Recent;

/// The span over which the rate of a queue is measured: one second, without its first millisecond.
const RATE_SPAN_MS: u64 = 999;

/// The requests of a class that have been waiting without a break.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    since_ms: u64,
    // The departures of each rank and those after it.
    departures: [Recent<(), RATE_SPAN_MS>; Rank::COUNT],
}

impl Backlog {
    /// Creates the backlog of a class whose first request begins to wait.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { since_ms: now_ms, departures: Default::default() }
    }

    /// Records that a request got an upstream.
    pub(super) fn record_departure(&mut self, rank: Rank, now_ms: u64) {
        for departures in &mut self.departures[..=rank.index()] {
            departures.push((), now_ms);
        }
    }

    /// Returns the minimum wait behind `ahead` requests, in milliseconds.
    pub(super) fn min_wait_ms(&mut self, ahead: usize, now_ms: u64) -> u64 {
        let departures = self.departures[0].count(now_ms);
        min_wait_ms(ahead, departures, self.span_ms(now_ms))
    }

    /// Returns the minimum wait of a request behind `ahead` of its rank, in milliseconds, by what
    /// the ranks before it leave; zero while the backlog is shorter than the span and the rate is
    /// unknown.
    pub(super) fn min_rank_wait_ms(&mut self, rank: Rank, ahead: usize, now_ms: u64) -> u64 {
        let span_ms = self.span_ms(now_ms);
        if span_ms <= RATE_SPAN_MS {
            return 0;
        }
        let departures = self.departures[rank.index()].count(now_ms);
        min_wait_ms(ahead, departures, span_ms)
    }

    fn span_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms).min(RATE_SPAN_MS + 1)
    }
}

/// Returns the wait at an upper bound of the departure rate: two standard deviations above the count.
fn min_wait_ms(ahead: usize, departures: usize, span_ms: u64) -> u64 {
    let seen = departures as f64;
    (ahead as f64 * span_ms as f64 / (seen + 2.0 * (seen + 1.0).sqrt() + 1.0)) as u64
}
