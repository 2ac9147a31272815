//! The concurrent work that an upstream handles well.

use super::StepStatistics;
use super::idle_time::IdleTime;

/// How fast the times of streams are forgotten: the time in which their weight falls to a third. A
/// change of the upstream shows within seconds, as does the end of false reports.
const MEMORY_MS: f64 = 3_000.0;

/// How fast plain requests are forgotten. Their mean load follows from their times within this span,
/// because nodes hear of each other's requests only after they have ended.
const REQUESTS_SPAN_MS: f64 = 1_000.0;

/// The multiple of the slope's standard error within which the samples do not contradict a limit.
const CONFIDENCE_ERRORS: f64 = 3.0;

/// How far an uncontradicted limit moves to the best estimate with each update, so that a limit from
/// false samples is forgotten within seconds.
const DRIFT: f64 = 0.1;

/// The time of work at the limit, relative to that at an idle upstream: where time grows linearly
/// with the load, more load adds more time than throughput from there on.
const TIME_AT_LIMIT: f64 = 2.0;

/// How far the limit of a plain service that is too slow moves to the estimate with each update.
const FALL: f64 = 0.3;

/// The limit of one start of an upstream. It begins at the slots, and stays without samples.
///
/// For engines, a line is fitted to the time of steps over the load. It is extrapolated beyond the
/// loads that were seen, so that no request has to be sent in excess of the limit to find out whether
/// the upstream handles more. The load at an instance of a plain service changes within the time
/// between two digests, so that a fit is of no use there: its limit follows the ratio of the mean
/// time of requests to the least mean of the last seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ConcurrencyLimit {
    own: StepStatistics,
    peers: StepStatistics,
    idle_time: IdleTime,
    is_plain: bool,
    limit: Option<f64>,
    aged_ms: u64,
}

impl ConcurrencyLimit {
    /// Adds a stream of this node: the load at the upstream and the mean pause between events.
    pub fn observe_stream(&mut self, load: u32, mean_pause_ms: f64, now_ms: u64) {
        self.is_plain = false;
        self.age(now_ms);
        self.own.observe(f64::from(load), mean_pause_ms);
    }

    /// Adds a plain request of this node that took `took_ms`.
    pub fn observe_request(&mut self, took_ms: f64, now_ms: u64) {
        self.is_plain = true;
        self.age(now_ms);
        self.own.observe(0.0, took_ms);
    }

    /// Replaces the samples of the other nodes.
    pub fn set_peers(&mut self, peers: StepStatistics) {
        self.peers = peers;
    }

    /// Returns the samples of this node.
    pub fn own(&self, now_ms: u64) -> StepStatistics {
        let memory_ms = if self.is_plain { REQUESTS_SPAN_MS } else { MEMORY_MS };
        self.own.aged(now_ms.saturating_sub(self.aged_ms), memory_ms)
    }

    fn age(&mut self, now_ms: u64) {
        self.own = self.own(now_ms);
        self.aged_ms = self.aged_ms.max(now_ms);
    }

    /// Moves the limit to what the samples say, given the upstream's slots.
    pub fn update(&mut self, slots: u32, now_ms: u64) {
        self.age(now_ms);
        let samples = self.own.plus(&self.peers);
        let slots = f64::from(slots);
        let limit = self.limit.unwrap_or(slots).min(slots);
        if self.is_plain {
            let Some((load, time_ms)) = samples.mean_of_requests(REQUESTS_SPAN_MS) else { return };
            let most_ms = TIME_AT_LIMIT * self.idle_time.observe(time_ms, now_ms);
            let handled = (load * most_ms / time_ms).clamp(1.0, limit.max(1.0));
            self.limit = Some(match time_ms > most_ms {
                true => limit + FALL * (handled - limit),
                false => limit + DRIFT * (1.0 - time_ms / most_ms) * (slots - limit),
            });
            return;
        }
        let Some(fit) = samples.fit() else { return };
        let bound = |errors| fit.best_load(errors).clamp(1.0, slots);
        let (least, best, most) = (bound(CONFIDENCE_ERRORS), bound(0.0), bound(-CONFIDENCE_ERRORS));
        let limit = (limit + DRIFT * (best - limit)).clamp(least, most.max(least));
        self.limit = Some(limit);
    }

    /// Returns how many requests the upstream handles well at once, at most its slots.
    pub fn get(&self, slots: u32) -> u32 {
        self.limit.map_or(slots, |limit| (limit.round() as u32).clamp(1, slots.max(1)))
    }
}
