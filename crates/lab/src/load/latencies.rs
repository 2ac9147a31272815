//! Quantiles of latencies.

use hdrhistogram::Histogram;

const LONGEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS);
        Self { histogram: histogram.expect("the bounds are in order") }
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn record_us(&mut self, latency_us: u64) {
        self.histogram.saturating_record(latency_us.max(1));
    }

    /// Returns how many were added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a quantile in milliseconds, or none if there is no latency.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        if self.histogram.is_empty() {
            return None;
        }
        Some(self.histogram.value_at_quantile(quantile) as f64 / 1_000.0)
    }
}

impl FromIterator<u64> for Latencies {
    fn from_iter<I: IntoIterator<Item = u64>>(latencies_us: I) -> Self {
        let mut latencies = Self::default();
        for latency_us in latencies_us {
            latencies.record_us(latency_us);
        }
        latencies
    }
}
