//! Coarse classes of engine speed.
//!
//! Roles and preferred engines must be the same at all nodes that know the same, and must not move
//! while speed factors drift. They therefore depend on the class of an engine and not on its factor.

/// The ratio of the times of adjacent classes, as a natural logarithm: a factor of 1.5, below the
/// ratio of 1.6 between the engines of a known deployment.
const CLASS_STEP: f64 = 0.405;

/// How far beyond the limit between two classes a factor must be to change the class, relative to the
/// step. An engine becomes slow at 1.33 times the usual time, and usual again at 1.13 times.
const HYSTERESIS: f64 = 0.2;

/// The class of an engine's speed relative to the median engine of its service; higher is slower.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct SpeedClass(i8);

impl SpeedClass {
    /// Returns the class after a factor was learned, given the engine's time relative to that of
    /// the median engine.
    #[must_use]
    pub fn updated(self, time_ratio: f64) -> Self {
        if !time_ratio.is_finite() || time_ratio <= 0.0 {
            return self;
        }
        let position = time_ratio.ln() / CLASS_STEP;
        let is_kept = (position - f64::from(self.0)).abs() <= 0.5 + HYSTERESIS;
        if is_kept { self } else { Self(position.round().clamp(-9.0, 9.0) as i8) }
    }

    /// Returns the time of an engine of this class relative to the median engine.
    pub fn time_factor(self) -> f64 {
        (f64::from(self.0) * CLASS_STEP).exp()
    }

    /// Returns the work that an engine of this class does in the time in which the median engine
    /// does one unit.
    pub fn capacity(self) -> f64 {
        1.0 / self.time_factor()
    }
}
