//! The adaptive limit of requests that this node has at one engine.
//!
//! Requests beyond what an engine can start at once wait inside it, where neither floors nor shares
//! hold. The limit therefore grows while the engine starts work at once and is fully used, and
//! shrinks when requests wait there or first tokens come late.

/// The first limit, and the least.
const INITIAL_LIMIT: f64 = 2.0;
const MIN_LIMIT: f64 = 0.5;

/// The limit of an engine that came back empty.
const RESTART_LIMIT: f64 = 1.0;

/// The most requests of one node at one engine.
const MAX_LIMIT: f64 = 512.0;

/// The growth in one step: by a factor until the first standing queue, then by a little.
const SLOW_START_GROWTH_FACTOR: f64 = 1.5;
const GROWTH_SHARE: f64 = 0.02;
const MIN_GROWTH: f64 = 0.25;

/// The factors of a step down: for a late first token, and the least for waiting requests.
const LATE_SHRINK_FACTOR: f64 = 0.9;
const MIN_SHRINK_FACTOR: f64 = 0.6;

/// Requests that may wait inside an engine without pressure: a share of those that run, or one.
const ALLOWED_WAITING_SHARE: f64 = 0.125;

/// The least time between two steps of the same kind; a step shows in reports only after a while.
const SHRINK_INTERVAL_MS: u64 = 500;
const GROW_INTERVAL_MS: u64 = 500;

/// The share of the limit that must be used for it to grow.
const FULL_USE_SHARE: f64 = 0.8;

/// What an engine shows of its pressure.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Pressure {
    /// Requests start at once.
    Free,
    /// More requests wait inside the engine than should.
    Waiting {
        /// Requests that run.
        running: u32,
        /// Requests that wait.
        waiting: u32,
    },
    /// A first token came after its target while requests waited.
    Late,
}

impl Pressure {
    /// Reads the pressure of a load report.
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

/// The limit at one engine.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    peak_in_flight: u32,
    in_slow_start: bool,
    // The last report showed pressure. One such report may show a burst that has just arrived;
    // only a second in a row shows a standing queue, which ends the start.
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
    /// Returns the limit. Its fraction counts: many nodes may share few places of an engine.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Notes how many requests are at the engine now.
    pub fn record_in_flight(&mut self, in_flight: u32) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
    }

    /// Takes in what the engine shows.
    pub fn observe(&mut self, pressure: Pressure, now_ms: u64) {
        match pressure {
            Pressure::Free => {
                self.was_under_pressure = false;
                self.grow(now_ms);
            }
            Pressure::Waiting { running, waiting } => {
                // All nodes see the same report, and together they take off what is too much.
                let wanted = f64::from(running) + allowed_waiting(running);
                let factor = wanted / f64::from(running + waiting);
                self.shrink(factor.clamp(MIN_SHRINK_FACTOR, 1.0), now_ms);
            }
            Pressure::Late => self.shrink(LATE_SHRINK_FACTOR, now_ms),
        }
    }

    /// Takes in a first token that came in time, with so many requests at the engine. While no
    /// standing queue was seen yet the limit grows at once, so that a node just started takes what comes.
    /// Returns whether it grew.
    pub fn record_timely_first_token(&mut self, in_flight: u32) -> bool {
        if !self.in_slow_start || f64::from(in_flight) < self.limit * FULL_USE_SHARE {
            return false;
        }
        self.limit = (self.limit * SLOW_START_GROWTH_FACTOR).min(MAX_LIMIT);
        true
    }

    /// Starts again from the least, for an engine that came back empty.
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
