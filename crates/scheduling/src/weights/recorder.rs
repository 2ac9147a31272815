//! Decides when this node writes the grace record of a version that it saw published.
//!
//! Nodes take turns by rank, so that one of them writes the record unless it fails.

use super::GraceRecord;
use super::record_lease_ms;
use redwingrill_routing::WeightsVersion;

/// The delay between the turns of nodes with consecutive ranks.
const TURN_MS: u64 = 400;

/// The delay after a failed write.
const RETRY_MS: u64 = 500;

/// A record that is to be written.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PendingRecord {
    /// The model.
    pub model: String,
    /// The record.
    pub record: GraceRecord,
    /// How long its lease is to last, in milliseconds.
    pub lease_ms: u64,
}

#[derive(Clone, Debug)]
struct Unrecorded {
    model: String,
    record: GraceRecord,
    published_ms: u64,
    paused_until_ms: u64,
}

/// The versions that this node saw published and that may lack a record.
#[derive(Clone, Debug)]
pub struct GraceRecorder {
    limit_ms: u64,
    unrecorded: Vec<Unrecorded>,
}

impl GraceRecorder {
    /// Creates a recorder; older weights may be used for `limit_ms`.
    pub fn new(limit_ms: u64) -> Self {
        Self { limit_ms, unrecorded: Vec::new() }
    }

    /// Adds a version that is published now; `previous` is the target version before.
    pub fn observe(
        &mut self,
        model: &str,
        previous: WeightsVersion,
        version: WeightsVersion,
        now_ms: u64,
    ) {
        let (model, record) = (model.to_owned(), GraceRecord { previous, version });
        let (published_ms, paused_until_ms) = (now_ms, 0);
        self.unrecorded.push(Unrecorded { model, record, published_ms, paused_until_ms });
    }

    /// Removes a version, whose record exists.
    pub fn remove(&mut self, model: &str, version: WeightsVersion) {
        self.unrecorded.retain(|entry| entry.model != model || entry.record.version != version);
    }

    /// Delays the next write of a record after a failure.
    pub fn delay(&mut self, model: &str, version: WeightsVersion, now_ms: u64) {
        let failed = self.unrecorded.iter_mut();
        failed
            .filter(|entry| entry.model == model && entry.record.version == version)
            .for_each(|entry| entry.paused_until_ms = now_ms + RETRY_MS);
    }

    /// Returns whether any version lacks a record.
    pub fn has_work(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    /// Returns the next record to write, for a node with this position in the order of turns.
    pub fn next(&mut self, rank: usize, now_ms: u64) -> Option<PendingRecord> {
        let lease_ms = record_lease_ms(self.limit_ms);
        self.unrecorded.retain(|entry| now_ms < entry.published_ms + lease_ms);
        let turn_ms = rank as u64 * TURN_MS;
        let mut due = self.unrecorded.iter().filter(|entry| {
            now_ms >= entry.published_ms + turn_ms && now_ms >= entry.paused_until_ms
        });
        due.next().map(|entry| PendingRecord {
            model: entry.model.clone(),
            record: entry.record,
            lease_ms: (entry.published_ms + lease_ms).saturating_sub(now_ms),
        })
    }
}
