//! The fit of a [`PrefillCurve`] to the responses of a service.
//!
//! A weighted least-squares fit that forgets old samples and starts from a prior. Residuals are
//! relative to the predicted time, so that short and long prompts count alike. Samples far from the
//! prediction count less, and those above it less again: requests of other nodes that this node
//! does not know of yet, and engines that other work slows down, only add time.

use super::PrefillCurve;
use super::PromptWork;
use super::curve::PARAMETERS;

/// The number of recent samples that determine the fit.
const MEMORY_SAMPLES: f64 = 300.0;

/// The number of samples that the prior counts as, for each parameter.
const PRIOR_SAMPLES: f64 = 4.0;

/// The relative residual up to which a sample counts fully.
const FULL_WEIGHT_RESIDUAL: f64 = 0.25;

/// The weight of a sample above the prediction, relative to one below it.
const ABOVE_WEIGHT: f64 = 0.6;

/// The range of observed times relative to the prediction; samples beyond it are limited to it.
const RESIDUAL_RANGE: f64 = 8.0;

/// How far the prior moves towards the curve of a node with a full memory.
const MERGE_WEIGHT: f64 = 0.2;

/// An online fit of a curve.
#[derive(Clone, Debug)]
pub struct CurveFit {
    curve: PrefillCurve,
    prior: PrefillCurve,
    information: [[f64; PARAMETERS]; PARAMETERS],
    moments: [f64; PARAMETERS],
    samples: f64,
}

impl Default for CurveFit {
    fn default() -> Self {
        Self::new(PrefillCurve::PRIOR)
    }
}

impl CurveFit {
    /// Creates a fit that starts from a prior.
    pub fn new(prior: PrefillCurve) -> Self {
        Self {
            curve: prior,
            prior,
            information: [[0.0; PARAMETERS]; PARAMETERS],
            moments: [0.0; PARAMETERS],
            samples: 0.0,
        }
    }

    /// Returns the fitted curve.
    pub fn curve(&self) -> &PrefillCurve {
        &self.curve
    }

    /// Returns the number of samples in memory; old samples count as parts of one.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Moves the prior towards the curve that another node learned from `samples` responses.
    pub fn merge_prior(&mut self, curve: PrefillCurve, samples: f64) {
        if !samples.is_finite() || samples <= 0.0 {
            return;
        }
        let weight = MERGE_WEIGHT * samples.min(MEMORY_SAMPLES) / MEMORY_SAMPLES;
        let (own, other) = (self.prior.parameters(), curve.parameters());
        let merged = std::array::from_fn(|i| own[i] + weight * (other[i] - own[i]));
        self.prior = PrefillCurve::from_parameters(merged);
        self.solve();
    }

    /// Adds a response whose first event came after `observed_ms` at an upstream without a queue.
    pub fn observe(&mut self, work: PromptWork, observed_ms: f64) {
        if !observed_ms.is_finite() || observed_ms <= 0.0 {
            return;
        }
        let predicted_ms = self.curve.first_event_ms(work);
        let observed_ms =
            observed_ms.clamp(predicted_ms / RESIDUAL_RANGE, predicted_ms * RESIDUAL_RANGE);
        let residual = (observed_ms - predicted_ms) / predicted_ms;
        let mut weight = (FULL_WEIGHT_RESIDUAL / residual.abs().max(1e-9)).min(1.0);
        if residual > 0.0 {
            weight *= ABOVE_WEIGHT;
        }
        let features = work.features().map(|feature| feature / predicted_ms);
        let target = observed_ms / predicted_ms;
        let kept = 1.0 - 1.0 / MEMORY_SAMPLES;
        for row in 0..PARAMETERS {
            for column in 0..PARAMETERS {
                let value = &mut self.information[row][column];
                *value = *value * kept + weight * features[row] * features[column];
            }
            self.moments[row] = self.moments[row] * kept + weight * features[row] * target;
        }
        self.samples = self.samples * kept + 1.0;
        self.solve();
    }

    /// Solves the normal equations, with the prior as a ridge.
    fn solve(&mut self) {
        let prior = self.prior.parameters();
        let mut matrix = self.information;
        let mut values = self.moments;
        for i in 0..PARAMETERS {
            let scale = prior[i].max(1e-3);
            let ridge = PRIOR_SAMPLES / (scale * scale);
            // The prior loses weight as samples arrive.
            let ridge = ridge / (1.0 + self.samples);
            matrix[i][i] += ridge;
            values[i] += ridge * prior[i];
        }
        self.curve = solve_limited(matrix, values);
    }
}

/// Solves the equations; a parameter that would leave its range is set to the limit, and the others
/// are solved again.
fn solve_limited(
    matrix: [[f64; PARAMETERS]; PARAMETERS],
    values: [f64; PARAMETERS],
) -> PrefillCurve {
    let mut fixed: [Option<f64>; PARAMETERS] = [None; PARAMETERS];
    for _ in 0..PARAMETERS {
        let solution = solve_free(matrix, values, fixed);
        let limited = PrefillCurve::from_parameters(solution).parameters();
        let Some(outside) =
            (0..PARAMETERS).rev().find(|&i| fixed[i].is_none() && limited[i] != solution[i])
        else {
            return PrefillCurve::from_parameters(solution);
        };
        fixed[outside] = Some(limited[outside]);
    }
    PrefillCurve::from_parameters(solve_free(matrix, values, fixed))
}

/// Solves the equations by Gaussian elimination, with some parameters fixed.
fn solve_free(
    mut matrix: [[f64; PARAMETERS]; PARAMETERS],
    mut values: [f64; PARAMETERS],
    fixed: [Option<f64>; PARAMETERS],
) -> [f64; PARAMETERS] {
    for (i, value) in fixed.iter().enumerate() {
        if let Some(value) = value {
            for row in 0..PARAMETERS {
                values[row] -= matrix[row][i] * value;
                matrix[row][i] = 0.0;
                matrix[i][row] = 0.0;
            }
            matrix[i][i] = 1.0;
            values[i] = *value;
        }
    }
    for pivot in 0..PARAMETERS {
        for row in pivot + 1..PARAMETERS {
            let factor = matrix[row][pivot] / matrix[pivot][pivot];
            let pivot_row = matrix[pivot];
            for (value, pivot_value) in matrix[row].iter_mut().zip(pivot_row).skip(pivot) {
                *value -= factor * pivot_value;
            }
            values[row] -= factor * values[pivot];
        }
    }
    let mut solution = [0.0; PARAMETERS];
    for row in (0..PARAMETERS).rev() {
        let known: f64 = (row + 1..PARAMETERS).map(|i| matrix[row][i] * solution[i]).sum();
        solution[row] = (values[row] - known) / matrix[row][row];
    }
    solution
}
