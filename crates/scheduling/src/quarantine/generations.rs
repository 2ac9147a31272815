//! Counting generations of broken attempts.

use super::timing::GENERATION_GAP_MS;
use crate::fleet::UpstreamTag;

/// One broken attempt of a part.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Interval {
    pub engine: UpstreamTag,
    pub sent_ms: u64,
    pub broken_ms: u64,
}

/// Counts attempts at distinct engines of which each was sent after the one before had broken.
#[derive(Clone, Debug, Default)]
pub struct Generations {
    intervals: Vec<Interval>,
}

impl Generations {
    /// Adds a broken attempt.
    pub fn add(&mut self, engine: UpstreamTag, sent_ms: u64, broken_ms: u64) {
        self.intervals.push(Interval { engine, sent_ms, broken_ms });
    }

    /// Returns the number of generations. Taking the attempt that broke first each time is best for
    /// intervals; with distinct engines it may count fewer, never more.
    pub fn count(&mut self) -> usize {
        self.intervals.sort_by_key(|interval| interval.broken_ms);
        let mut engines: Vec<UpstreamTag> = Vec::new();
        let mut broken_ms = None;
        for interval in &self.intervals {
            let is_later =
                broken_ms.is_none_or(|broken: u64| interval.sent_ms > broken + GENERATION_GAP_MS);
            if is_later && !engines.contains(&interval.engine) {
                engines.push(interval.engine);
                broken_ms = Some(interval.broken_ms);
            }
        }
        engines.len()
    }
}
