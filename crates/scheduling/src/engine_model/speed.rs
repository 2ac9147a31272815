//! The speed of one engine relative to its service.

use super::SpeedClass;

/// The weight of one response in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.08;

/// The largest step of one response, as a natural logarithm.
const STEP_LIMIT: f64 = 0.4;

/// The range of the factor; it bounds what an engine that misreports its load can gain.
const FACTOR_RANGE: f64 = 4.0;

/// The range of a reported slowdown.
const SLOWDOWN_RANGE: f64 = 10.0;

/// The number of responses that a factor must rest on to count. Factors that rest on few are near
/// one: merged from all nodes, they outweighed those that coordinators learned.
const FOUNDED_SAMPLES: f64 = 8.0;

/// The number of reports over which the usual slowdown is averaged: some seconds at the coordinator
/// of an engine's group.
const USUAL_REPORTS: f64 = 50.0;

/// The number of own responses after which the factor of other nodes counts as little as one.
const OWN_SAMPLES_LIMIT: f64 = 50.0;

/// The time factor of one start of an engine: above one if it is slower than its service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EngineSpeed {
    log_factor: f64,
    // The moving average of the reported slowdown, one without other work on the machine.
    slowdown: f64,
    latest_slowdown: f64,
    // An average over more reports, for decisions that must not follow each disturbance.
    usual_slowdown: f64,
    reports: f64,
    samples: f64,
    // The most responses that the factor rests on, at this node or another one.
    evidence: f64,
    class: SpeedClass,
    // Without the slowdown.
    own_class: SpeedClass,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            log_factor: 0.0,
            slowdown: 1.0,
            latest_slowdown: 1.0,
            usual_slowdown: 1.0,
            reports: 0.0,
            evidence: 0.0,
            samples: 0.0,
            class: SpeedClass::default(),
            own_class: SpeedClass::default(),
        }
    }
}

impl EngineSpeed {
    /// Returns the factor by which the engine's times exceed those of its service.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp()
    }

    /// Returns the factor including the average slowdown by other work on the machine.
    pub fn time_factor(&self) -> f64 {
        self.factor() * self.slowdown
    }

    /// Returns the number of own responses, at most a limit.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Returns the slowdown at the last response.
    pub fn latest_slowdown(&self) -> f64 {
        self.latest_slowdown
    }

    /// Returns the class of the speed among the engines of the service.
    pub fn class(&self) -> SpeedClass {
        self.class
    }

    /// Returns the class of the speed without other work on the engine's machine.
    pub fn own_class(&self) -> SpeedClass {
        self.own_class
    }

    /// Returns the usual slowdown by other work on the engine's machine.
    pub fn usual_slowdown(&self) -> f64 {
        self.usual_slowdown
    }

    /// Returns the factor including the usual slowdown.
    pub fn usual_time_factor(&self) -> f64 {
        self.factor() * self.usual_slowdown
    }

    /// Returns whether the factor rests on enough responses of one node to be told to others.
    pub fn is_founded(&self) -> bool {
        self.samples >= FOUNDED_SAMPLES
    }

    /// Updates the classes from the factors of the median engine of the service, without and with
    /// the slowdown.
    pub fn compare(&mut self, median_factor: f64, median_time_factor: f64) {
        // A few responses are no evidence: restarted nodes took engines of like speed for slow.
        if self.evidence < FOUNDED_SAMPLES {
            return;
        }
        self.own_class = self.own_class.updated(self.factor() / median_factor);
        self.class = self.class.updated(self.usual_time_factor() / median_time_factor);
    }

    /// Records the slowdown that the engine reported: one without other work on its machine.
    pub fn observe_slowdown(&mut self, slowdown: f64) {
        if slowdown.is_finite() && slowdown > 0.0 {
            self.latest_slowdown = slowdown.clamp(1.0 / SLOWDOWN_RANGE, SLOWDOWN_RANGE);
            self.slowdown += SAMPLE_WEIGHT * (self.latest_slowdown - self.slowdown);
            self.reports = (self.reports + 1.0).min(USUAL_REPORTS);
            self.usual_slowdown += (self.latest_slowdown - self.usual_slowdown) / self.reports;
        }
    }

    /// Records the observed time relative to the time that the service's curve predicts.
    pub fn observe_ratio(&mut self, ratio: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let step = (ratio.ln() - self.log_factor).clamp(-STEP_LIMIT, STEP_LIMIT);
        self.log_factor += SAMPLE_WEIGHT.max(1.0 / (self.samples + 4.0)) * step;
        self.limit();
        self.samples = (self.samples + 1.0).min(OWN_SAMPLES_LIMIT);
        self.evidence = self.evidence.max(self.samples);
    }

    /// Merges the factor and the slowdown that another node learned from `samples` responses.
    pub fn merge(&mut self, factor: f64, slowdown: f64, samples: f64) {
        if !factor.is_finite() || factor <= 0.0 || !samples.is_finite() || samples <= 0.0 {
            return;
        }
        let samples = samples.min(OWN_SAMPLES_LIMIT);
        // A factor that rests on fewer responses than this one only blurs it.
        if self.is_founded() && samples <= self.samples {
            return;
        }
        self.evidence = self.evidence.max(samples);
        let weight = samples / (samples + self.samples + 1.0) / 4.0;
        self.log_factor += weight * (factor.ln() - self.log_factor);
        self.limit();
        if slowdown.is_finite() && slowdown > 0.0 {
            let slowdown = slowdown.clamp(1.0 / SLOWDOWN_RANGE, SLOWDOWN_RANGE);
            self.slowdown += weight * (slowdown - self.slowdown);
            self.usual_slowdown += weight * (slowdown - self.usual_slowdown);
        }
    }

    fn limit(&mut self) {
        let range = FACTOR_RANGE.ln();
        self.log_factor = self.log_factor.clamp(-range, range);
    }
}
