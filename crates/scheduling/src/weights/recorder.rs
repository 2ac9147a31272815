//! Decides when this node writes the grace record of a version that it saw published.
//!
//! Nodes take turns, so that one of them writes the record unless it fails, see [`crate::turns`].

use super::GraceRecord;
use super::record_lease_ms;
use crate::turns::retry_delay_ms;
use crate::turns::turn_delay_ms;
use redwingrill_routing::WeightsVersion;

/// The delay after a failed write, for the node whose turn comes first.
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
struct Published {
    model: String,
    record: GraceRecord,
    published_ms: u64,
    paused_until_ms: u64,
    is_recorded: bool,
}

/// The versions that this node saw published, while their records last.
#[derive(Clone, Debug)]
pub struct GraceRecorder {
    limit_ms: u64,
    published: Vec<Published>,
}

impl GraceRecorder {
    /// Creates a recorder; older weights may be used for `limit_ms`.
    pub fn new(limit_ms: u64) -> Self {
        Self { limit_ms, published: Vec::new() }
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
        let is_recorded = false;
        self.published.push(Published {
            model,
            record,
            published_ms,
            paused_until_ms,
            is_recorded,
        });
    }

    /// Notes that the record of a version exists.
    pub fn recorded(&mut self, model: &str, version: WeightsVersion) {
        let recorded = self.published.iter_mut();
        recorded
            .filter(|entry| entry.model == model && entry.record.version == version)
            .for_each(|entry| entry.is_recorded = true);
    }

    /// Notes that the store came back from an older copy: no record counts any more.
    pub fn store_restored(&mut self) {
        self.published.iter_mut().for_each(|entry| entry.is_recorded = false);
    }

    /// Delays the next write of a record after a failure, for a node with this position in the order
    /// of turns.
    pub fn delay(&mut self, model: &str, version: WeightsVersion, rank: usize, now_ms: u64) {
        let failed = self.published.iter_mut();
        failed
            .filter(|entry| entry.model == model && entry.record.version == version)
            .for_each(|entry| entry.paused_until_ms = now_ms + retry_delay_ms(rank, RETRY_MS));
    }

    /// Returns whether any version lacks a record.
    pub fn has_work(&self) -> bool {
        self.published.iter().any(|entry| !entry.is_recorded)
    }

    /// Returns the next record to write, for a node with this position in the order of turns.
    pub fn next(&mut self, rank: usize, now_ms: u64) -> Option<PendingRecord> {
        let lease_ms = record_lease_ms(self.limit_ms);
        self.published.retain(|entry| now_ms < entry.published_ms + lease_ms);
        let turn_ms = turn_delay_ms(rank);
        let mut due = self.published.iter().filter(|entry| {
            !entry.is_recorded
                && now_ms >= entry.published_ms + turn_ms
                && now_ms >= entry.paused_until_ms
        });
        due.next().map(|entry| PendingRecord {
            model: entry.model.clone(),
            record: entry.record,
            lease_ms: (entry.published_ms + lease_ms).saturating_sub(now_ms),
        })
    }
}
