//! The late and gappy report of cache changes.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::engine::cache::CacheChange;

const KEPT_EVENTS: usize = 65_536;

/// One event as `/cache/events` shows it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct CacheEvent {
    /// The number of the event; gaps are lost events.
    pub seq: u64,
    /// `stored` or `removed`.
    pub op: &'static str,
    /// The block's hash in hexadecimal.
    pub block: String,
}

#[derive(Clone, Copy, Debug)]
struct Recorded {
    seq: u64,
    at: Instant,
    change: CacheChange,
}

/// The changes that are still told.
#[derive(Debug)]
pub struct CacheEvents {
    lag: Duration,
    gap_every: u64,
    next_seq: u64,
    recorded: VecDeque<Recorded>,
}

impl CacheEvents {
    /// Makes an empty report.
    pub fn new(lag_ms: u64, gap_every: u64) -> Self {
        let lag = Duration::from_millis(lag_ms);
        Self { lag, gap_every, next_seq: 1, recorded: VecDeque::new() }
    }

    /// Records changes.
    pub fn record(&mut self, now: Instant, changes: impl IntoIterator<Item = CacheChange>) {
        for change in changes {
            let seq = self.next_seq;
            self.next_seq += 1;
            let is_lost = self.gap_every > 0 && seq.is_multiple_of(self.gap_every);
            if is_lost {
                continue;
            }
            self.recorded.push_back(Recorded { seq, at: now, change });
            if self.recorded.len() > KEPT_EVENTS {
                self.recorded.pop_front();
            }
        }
    }

    /// Returns the events after a number that are old enough to be told.
    pub fn after(&self, seq: u64, now: Instant) -> Vec<CacheEvent> {
        let first = self.recorded.partition_point(|recorded| recorded.seq <= seq);
        let told = self.recorded.range(first..).take_while(|r| r.at + self.lag <= now);
        told.map(event).collect()
    }
}

fn event(recorded: &Recorded) -> CacheEvent {
    let (op, block) = match recorded.change {
        CacheChange::Stored(block) => ("stored", block),
        CacheChange::Removed(block) => ("removed", block),
    };
    CacheEvent { seq: recorded.seq, op, block: block.to_string() }
}
