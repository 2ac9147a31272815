//! Upstreams that left, remembered for the time after the store came back from an older copy.
//!
//! The copy lists them as they were before they left. An upstream that is alive writes its entry
//! again, with a higher revision than that of the copy; the entry of one that is gone lapses. Until
//! then, an entry that is no newer than the last one before the departure does not count.

use std::collections::HashMap;

use redwingrill_routing::Revision;
use redwingrill_routing::Upstream;

/// How long departures are remembered: longer than copies of the store are old.
const MEMORY_MS: u64 = 120_000;

#[derive(Clone, Copy, Debug)]
struct Departure {
    last_ready: Revision,
    started_unix_ms: Option<u64>,
    at_ms: u64,
}

/// The departures of upstreams by identity. Times are in milliseconds on the node's clock.
#[derive(Clone, Debug)]
pub(super) struct Departures {
    by_id: HashMap<String, Departure>,
    // How long the entry of an upstream that is gone may stay in the store.
    lapse_ms: u64,
    // Until when entries are compared with departures; `None` if the store did not come back.
    doubt_until_ms: Option<u64>,
}

impl Departures {
    pub fn new(lapse_ms: u64) -> Self {
        Self { by_id: HashMap::new(), lapse_ms, doubt_until_ms: None }
    }

    /// Records that an upstream left, whose entry at `last_ready` was the last one before.
    pub fn record(&mut self, upstream: &Upstream, last_ready: Revision, now_ms: u64) {
        self.by_id.retain(|_, departure| now_ms.saturating_sub(departure.at_ms) < MEMORY_MS);
        let started_unix_ms = upstream.started_unix_ms;
        let departure = Departure { last_ready, started_unix_ms, at_ms: now_ms };
        self.by_id.insert(upstream.id.clone(), departure);
    }

    /// Records that an upstream is listed as ready.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Records that the store came back from an older copy.
    pub fn store_restored(&mut self, now_ms: u64) {
        self.doubt_until_ms = Some(now_ms + self.lapse_ms);
    }

    /// Ends the comparison if its time has passed.
    pub fn end_doubt(&mut self, now_ms: u64) {
        self.doubt_until_ms = self.doubt_until_ms.filter(|until_ms| now_ms < *until_ms);
    }

    /// Returns whether an entry describes an upstream as it was before it left.
    pub fn is_outdated(&self, upstream: &Upstream, revision: Revision) -> bool {
        self.doubt_until_ms.is_some()
            && self.by_id.get(&upstream.id).is_some_and(|departure| {
                departure.started_unix_ms == upstream.started_unix_ms
                    && departure.last_ready.era() < revision.era()
                    && revision.number() <= departure.last_ready.number()
            })
    }

    /// Returns when entries of departed upstreams count again.
    pub fn doubt_until_ms(&self) -> Option<u64> {
        self.doubt_until_ms
    }
}
