//! The time of an upstream's work at different loads.

use serde::Deserialize;
use serde::Serialize;

/// The minimum weight of samples for a fit.
const MIN_WEIGHT: f64 = 12.0;

/// The minimum standard deviation of the load for a fit, relative to its mean.
const MIN_LOAD_DEVIATION: f64 = 0.15;

/// The range of the weight and of the means that another node may report; it bounds the share of
/// the fit that one node can falsify.
const REPORTED_WEIGHT_LIMIT: f64 = 64.0;
const REPORTED_LOAD_LIMIT: f64 = 10_000.0;
const REPORTED_TIME_LIMIT_MS: f64 = 60_000.0;

/// Weighted sums of samples, each the load at an upstream and the time of a unit of work there: the
/// pause between two events of a stream, or a plain request. Sums of several nodes can be added.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct StepStatistics {
    weight: f64,
    load: f64,
    time: f64,
    load_load: f64,
    load_time: f64,
    time_time: f64,
}

/// The line of time over load through the samples.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StepFit {
    mean_load: f64,
    mean_time_ms: f64,
    slope_ms: f64,
    slope_error_ms: f64,
}

impl StepStatistics {
    /// Adds a sample.
    pub fn observe(&mut self, load: f64, time_ms: f64) {
        if !time_ms.is_finite() || time_ms <= 0.0 {
            return;
        }
        let time_ms = time_ms.min(REPORTED_TIME_LIMIT_MS);
        self.weight += 1.0;
        self.load += load;
        self.time += time_ms;
        self.load_load += load * load;
        self.load_time += load * time_ms;
        self.time_time += time_ms * time_ms;
    }

    /// Returns the sums with weights as they are after a time, of which `memory_ms` leaves a third.
    #[must_use]
    pub fn aged(&self, age_ms: u64, memory_ms: f64) -> Self {
        self.scaled((-(age_ms as f64) / memory_ms).exp())
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            load: self.load * factor,
            time: self.time * factor,
            load_load: self.load_load * factor,
            load_time: self.load_time * factor,
            time_time: self.time_time * factor,
        }
    }

    /// Returns the sums over the samples of both.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            load: self.load + other.load,
            time: self.time + other.time,
            load_load: self.load_load + other.load_load,
            load_time: self.load_time + other.load_time,
            time_time: self.time_time + other.time_time,
        }
    }

    /// Returns the mean load and the mean time while complete requests were observed for `span_ms`:
    /// by Little's law, the load is the time that all requests took, divided by the span.
    pub fn mean_of_requests(&self, span_ms: f64) -> Option<(f64, f64)> {
        (self.weight >= MIN_WEIGHT).then(|| (self.time / span_ms, self.time / self.weight))
    }

    /// Returns the weight of the samples.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the line through the samples; `None` if they are too few or too alike.
    pub fn fit(&self) -> Option<StepFit> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let (mean_load, mean_time_ms) = (self.load / self.weight, self.time / self.weight);
        let load_variance = self.load_load / self.weight - mean_load * mean_load;
        if load_variance.max(0.0).sqrt() < (MIN_LOAD_DEVIATION * mean_load).max(f64::MIN_POSITIVE) {
            return None;
        }
        let covariance = self.load_time / self.weight - mean_load * mean_time_ms;
        let time_variance = self.time_time / self.weight - mean_time_ms * mean_time_ms;
        let slope_ms = covariance / load_variance;
        let residual = (time_variance - slope_ms * covariance).max(0.0);
        let slope_error_ms = (residual / (load_variance * self.weight)).sqrt();
        Some(StepFit { mean_load, mean_time_ms, slope_ms, slope_error_ms })
    }
}

impl StepFit {
    /// Returns the load with the most throughput per time, with the slope shifted by a multiple of
    /// its standard error. With a time of `a + b n` at load `n`, `n / (a + b n)^2` is greatest at
    /// `a / b`, where the time is twice that of an idle upstream.
    pub fn best_load(&self, errors: f64) -> f64 {
        let slope_ms = self.slope_ms + errors * self.slope_error_ms;
        if slope_ms <= 0.0 {
            return f64::INFINITY;
        }
        (self.mean_time_ms - slope_ms * self.mean_load).max(0.0) / slope_ms
    }
}

impl From<&StepStatistics> for [f32; 6] {
    fn from(s: &StepStatistics) -> Self {
        [s.weight, s.load, s.time, s.load_load, s.load_time, s.time_time].map(|sum| sum as f32)
    }
}

impl From<[f32; 6]> for StepStatistics {
    /// Takes the report of another node; an impossible one counts as none.
    fn from(sums: [f32; 6]) -> Self {
        let [weight, load, time, load_load, load_time, time_time] = sums.map(f64::from);
        let sums = Self { weight, load, time, load_load, load_time, time_time };
        let is_valid = [weight, load, time, load_load, load_time, time_time]
            .iter()
            .all(|sum| sum.is_finite() && *sum >= 0.0)
            && load <= weight * REPORTED_LOAD_LIMIT
            && time <= weight * REPORTED_TIME_LIMIT_MS
            && load_load <= weight * REPORTED_LOAD_LIMIT.powi(2)
            && time_time <= weight * REPORTED_TIME_LIMIT_MS.powi(2);
        if !is_valid || weight <= 0.0 {
            return Self::default();
        }
        sums.scaled((REPORTED_WEIGHT_LIMIT / weight).min(1.0))
    }
}
