//! How many upstreams of equal standing a request compares.
//!
//! Answers this load: many nodes, each of which hears of the others' requests half a second late.
//! An engine that looks idle (it came back, or took new weights) would get the requests of all
//! nodes until they hear of each other. With few engines drawn at random for each request, each
//! engine is looked at by a part of the requests only, and the less loaded of the drawn ones wins.

/// The fewest that are compared: two already avoid the most loaded engines.
const MIN_SAMPLE: usize = 2;

/// The part of its slots, in percent, that may be taken at an engine that looked idle before the
/// nodes hear of each other.
const UNREPORTED_SLOTS_PERCENT: usize = 50;

/// From the sending of a request to the next word about it, beside the age of the words.
const REPORT_DELAY_MS: u64 = 50;

/// What bounds a draw.
#[derive(Clone, Copy, Debug)]
pub(super) struct SampleBound {
    // Requests of the same kind that all nodes send before they hear of each other.
    unreported: usize,
}

impl SampleBound {
    /// Makes the bound for so many requests a second at all nodes; `age_ms` is the age of what the
    /// node hears of the others.
    pub(super) fn new(per_s: u32, age_ms: u64) -> Self {
        let unreported = u64::from(per_s) * (age_ms + REPORT_DELAY_MS) / 1_000;
        Self { unreported: unreported as usize }
    }

    /// Returns how many of `engines` of equal standing, with so many slots each, are compared.
    pub(super) fn size(self, engines: usize, slots: u32) -> usize {
        let unreported_limit = slots as usize * UNREPORTED_SLOTS_PERCENT / 100;
        let size = engines * unreported_limit / self.unreported.max(1);
        size.max(MIN_SAMPLE).min(engines)
    }
}
