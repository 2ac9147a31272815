//! The number of upstreams of equal base cost that a request compares.
//!
//! With many nodes that receive each other's load half a second late, an engine that looks idle
//! after a restart or new weights would get the requests of all nodes until its load is reported. A
//! request therefore compares only a few randomly sampled engines and goes to the least loaded of
//! them, so that only a part of the requests considers each engine.

/// The minimum sample size; two already avoid the most loaded engines.
const MIN_SAMPLE: usize = 2;

/// The percentage of its slots that an apparently idle engine may receive before its load is
/// reported.
const UNREPORTED_SLOTS_PERCENT: usize = 50;

/// The time from sending a request to the next digest that contains it, in addition to the age of
/// the digests.
const REPORT_DELAY_MS: u64 = 50;

/// Limits the sample size.
#[derive(Clone, Copy, Debug)]
pub(super) struct SampleBound {
    // Requests of the same class that all nodes send before they receive each other's load.
    unreported: usize,
}

impl SampleBound {
    /// Creates the bound for `per_s` requests per second at all nodes; `age_ms` is the age of the
    /// digests of the other nodes.
    pub(super) fn new(per_s: u32, age_ms: u64) -> Self {
        let unreported = u64::from(per_s) * (age_ms + REPORT_DELAY_MS) / 1_000;
        Self { unreported: unreported as usize }
    }

    /// Returns how many of `engines` of equal base cost, with `slots` slots each, are compared.
    pub(super) fn size(self, engines: usize, slots: u32) -> usize {
        let unreported_limit = slots as usize * UNREPORTED_SLOTS_PERCENT / 100;
        let size = engines * unreported_limit / self.unreported.max(1);
        size.max(MIN_SAMPLE).min(engines)
    }
}
