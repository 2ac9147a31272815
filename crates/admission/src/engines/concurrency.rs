//! An adaptive limit on this node's requests in flight at one engine.
//!
//! Requests beyond what an engine can start immediately wait inside the engine, where neither
//! priority floors nor fair shares apply. The limit therefore grows while it is fully used and the
//! engine starts requests immediately, and shrinks when requests wait in the engine or first tokens
//! are late.

/// The initial and the minimum limit.
const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 0.5;

/// The limit after an engine restarted with an empty cache.
const RESTART_LIMIT: f64 = 1.0;

/// The maximum limit.
const MAX_LIMIT: f64 = 512.0;

/// The growth in one step: a factor during slow start, which ends at the first standing queue, then
/// a share of the limit with a minimum in requests.
const SLOW_START_GROWTH_FACTOR: f64 = 1.5;
const GROWTH_SHARE: f64 = 0.02;
const MIN_GROWTH: f64 = 0.25;

/// The factors of a shrink step: for a late first token, and the lower bound for waiting requests.
const LATE_SHRINK_FACTOR: f64 = 0.9;
const MIN_SHRINK_FACTOR: f64 = 0.6;

/// Requests that may wait inside an engine without counting as pressure, as a share of the running
/// requests; at least one may wait.
const ALLOWED_WAITING_SHARE: f64 = 0.125;

/// The minimum time between two steps of the same kind, since load reports show the effect of a
/// step with a delay.
const SHRINK_INTERVAL_MS: u64 = 500;
const GROW_INTERVAL_MS: u64 = 500;

/// The share of the limit that must be in use for the limit to grow.
const FULL_USE_SHARE: f64 = 0.8;

/// A signal of how loaded an engine is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Pressure {
    /// Requests start immediately.
    Free,
    /// More requests wait inside the engine than allowed.
    Waiting {
        /// Running requests.
        running: u32,
        /// Waiting requests.
        waiting: u32,
    },
    /// A first token missed its latency target while requests waited.
    Late,
}

impl Pressure {
    /// Derives the pressure from the request counts of a load report.
    pub fn from_report(running: u32, waiting: u32) -> Self {
        if f64::from(waiting) > allowed_waiting(running) {
            Self::Waiting { running, waiting }
        } else {
            Self::Free
        }
    }
}

fn allowed_waiting(running: u32) -> f64 {
    (f64::from(running) * ALLOWED_WAITING_SHARE).max(1.0)
}

/// The concurrency limit of this node at one engine.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    peak_in_flight: u32,
    in_slow_start: bool,
    // Whether the last report showed pressure. A single such report may show a burst that has just
    // arrived. A second one in a row shows a standing queue, which ends slow start.
    was_under_pressure: bool,
    last_shrink_ms: u64,
    last_growth_ms: u64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            peak_in_flight: 0,
            in_slow_start: true,
            was_under_pressure: false,
            last_shrink_ms: 0,
            last_growth_ms: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the limit in requests. It may be fractional: many nodes may share few engine slots.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Records the current number of requests in flight at the engine.
    pub fn record_in_flight(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    /// Adjusts the limit to a pressure signal.
    pub fn observe(&mut self, pressure: Pressure, now_ms: u64) {
        match pressure {
            Pressure::Free => {
                self.was_under_pressure = false;
                self.grow(now_ms);
            }
            Pressure::Waiting { running, waiting } => {
                // All nodes see the same report and shrink by the same factor, which together
                // removes the excess.
                let wanted = f64::from(running) + allowed_waiting(running);
                let factor = wanted / f64::from(running + waiting);
                self.shrink(factor.clamp(MIN_SHRINK_FACTOR, 1.0), now_ms);
            }
            Pressure::Late => self.shrink(LATE_SHRINK_FACTOR, now_ms),
        }
    }

    /// Records a first token within its target while `in_flight` requests are at the engine. During
    /// slow start a fully used limit grows immediately, so that a node that just started can accept
    /// its load. Returns whether the limit grew.
    pub fn record_timely_first_token(&mut self, in_flight: u32) -> bool {
        if !self.in_slow_start || f64::from(in_flight) < self.limit * FULL_USE_SHARE {
            return false;
        }
        self.limit = (self.limit * SLOW_START_GROWTH_FACTOR).min(MAX_LIMIT);
        true
    }

    /// Resets the limit and re-enters slow start after the engine restarted with an empty cache.
    pub fn reset(&mut self, now_ms: u64) {
        *self = Self { limit: RESTART_LIMIT, last_growth_ms: now_ms, ..Self::default() };
    }

    fn grow(&mut self, now_ms: u64) {
        let is_fully_used = f64::from(self.peak_in_flight) >= self.limit * FULL_USE_SHARE;
        if !is_fully_used || now_ms < self.last_growth_ms + GROW_INTERVAL_MS {
            return;
        }
        let growth = (self.limit * GROWTH_SHARE).max(MIN_GROWTH);
        self.limit = if self.in_slow_start {
            self.limit * SLOW_START_GROWTH_FACTOR
        } else {
            self.limit + growth
        };
        self.limit = self.limit.min(MAX_LIMIT);
        self.peak_in_flight = 0;
        self.last_growth_ms = now_ms;
    }

    fn shrink(&mut self, factor: f64, now_ms: u64) {
        if now_ms < self.last_shrink_ms + SHRINK_INTERVAL_MS {
            return;
        }
        self.in_slow_start &= !self.was_under_pressure;
        self.was_under_pressure = true;
        self.limit = (self.limit * factor).max(MIN_LIMIT);
        self.last_shrink_ms = now_ms;
        self.last_growth_ms = now_ms;
    }
}
