//! The usual demand of a client account: a slow average that a flood does not raise.

/// The half-life of the average.
const HALF_LIFE_MS: f64 = 60_000.0;

/// The span after which arrivals enter the average.
const WINDOW_MS: u64 = 1_000;

/// The time after the first request during which all arrivals count, since no usual demand is known
/// yet.
pub(super) const WARM_UP_MS: u64 = 3_000;

/// The demand in a window, relative to the usual demand, beyond which it counts as a surge; a few
/// requests more are usual for an account that sends seldom.
const SURGE_FACTOR: f64 = 1.5;
const SURGE_REQUESTS: f64 = 4.0;

/// What a surge counts, relative to the usual demand: a lasting surge doubles the average in
/// minutes, a flood of some seconds leaves it unchanged.
const SURGE_COUNTED: f64 = 1.25;

/// The average demand of an account in engine time per time.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualDemand {
    first_ms: u64,
    window_since_ms: u64,
    window_work_ms: f64,
    // Both decay with the half-life.
    work_ms: f64,
    observed_ms: f64,
}

impl UsualDemand {
    /// Creates the demand of an account that is observed since `first_ms`.
    pub(super) fn new(first_ms: u64) -> Self {
        Self {
            first_ms,
            window_since_ms: first_ms,
            window_work_ms: 0.0,
            work_ms: 0.0,
            observed_ms: 0.0,
        }
    }

    /// Records the engine time of a request that arrives; `usual_cost_ms` is that of a usual one.
    pub(super) fn record_arrival(&mut self, cost_ms: f64, usual_cost_ms: f64, now_ms: u64) {
        self.advance(usual_cost_ms, now_ms);
        self.window_work_ms += cost_ms;
    }

    /// Adds completed windows to the average.
    pub(super) fn advance(&mut self, usual_cost_ms: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_since_ms);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let usual_ms = self.work_ms / self.observed_ms.max(1.0) * elapsed_ms as f64;
        let is_warm = self.window_since_ms >= self.first_ms + WARM_UP_MS;
        let surge_ms = SURGE_FACTOR * usual_ms + SURGE_REQUESTS * usual_cost_ms;
        let counted_ms = match is_warm && self.window_work_ms > surge_ms {
            true => SURGE_COUNTED * usual_ms,
            false => self.window_work_ms,
        };
        let decay = (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2();
        self.work_ms = self.work_ms * decay + counted_ms;
        self.observed_ms = self.observed_ms * decay + elapsed_ms as f64;
        self.window_since_ms = now_ms;
        self.window_work_ms = 0.0;
    }

    /// Returns the usual demand in engine time per time.
    pub(super) fn average(&self, now_ms: u64) -> f64 {
        if now_ms < self.first_ms + WARM_UP_MS {
            let age_ms = now_ms.saturating_sub(self.first_ms).max(WINDOW_MS);
            return (self.work_ms + self.window_work_ms) / age_ms as f64;
        }
        self.work_ms / self.observed_ms.max(1.0)
    }

    /// Returns whether no request arrived for so long that the average is of no use.
    pub(super) fn is_outdated(&self, now_ms: u64) -> bool {
        self.window_work_ms == 0.0
            && self.work_ms < 0.01
            && now_ms.saturating_sub(self.first_ms) as f64 > HALF_LIFE_MS
    }
}
