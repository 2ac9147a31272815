//! The target versions of a model and when each was published.

use super::record_lease_ms;
use redwingrill_routing::WeightsVersion;

/// The maximum number of versions and of ended records kept per model.
const HISTORY_LIMIT: usize = 64;

/// States that `version` was published when `previous` was the target, so it superseded all
/// versions from `previous` on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GraceRecord {
    /// The target version before.
    pub previous: WeightsVersion,
    /// The target version.
    pub version: WeightsVersion,
}

impl GraceRecord {
    fn covers(&self, weights: WeightsVersion) -> bool {
        self.previous <= weights && weights < self.version
    }
}

/// When a target version was published, on the node's clock.
#[derive(Clone, Copy, Debug)]
enum Publication {
    Observed { at_ms: u64 },
    // The version was published at some time before.
    Discovered { at_ms: u64 },
}

/// The target versions of a model, in increasing order.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    targets: Vec<(WeightsVersion, Publication)>,
    records: Vec<GraceRecord>,
    // Records whose lease ended while this node ran, with the time.
    ended_records: Vec<(GraceRecord, u64)>,
}

impl VersionHistory {
    /// Returns the newest version.
    pub fn newest(&self) -> WeightsVersion {
        self.targets.last().map(|&(version, _)| version).unwrap_or_default()
    }

    /// Records a version that is published now. Returns whether it is newer than the others.
    pub fn observe(&mut self, version: WeightsVersion, now_ms: u64) -> bool {
        self.add(version, Publication::Observed { at_ms: now_ms })
    }

    /// Records a version that was published at some time before now. Returns whether it is newer
    /// than the others.
    pub fn discover(&mut self, version: WeightsVersion, now_ms: u64) -> bool {
        self.add(version, Publication::Discovered { at_ms: now_ms })
    }

    /// Replaces the grace records that exist in the store.
    pub fn set_records(&mut self, records: &[GraceRecord], now_ms: u64) {
        let ended = self.records.iter().filter(|record| !records.contains(record));
        self.ended_records.extend(ended.map(|record| (*record, now_ms)));
        if self.ended_records.len() > HISTORY_LIMIT {
            self.ended_records.drain(..self.ended_records.len() - HISTORY_LIMIT);
        }
        self.records.clear();
        self.records.extend_from_slice(records);
    }

    /// Returns when a version of the weights expires, if it may be used for `limit_ms` after a
    /// newer one was published; `None` if it is not superseded. While the age of the newer version
    /// is not known, this is the latest possible time, and the end of the grace record corrects
    /// it.
    pub fn expiry_ms(&self, weights: WeightsVersion, limit_ms: u64) -> Option<u64> {
        let (_, publication) = self.targets.iter().find(|(target, _)| *target > weights)?;
        Some(match *publication {
            Publication::Observed { at_ms } => at_ms + limit_ms,
            Publication::Discovered { at_ms } => {
                self.expiry_of_discovered_ms(weights, at_ms, limit_ms)
            }
        })
    }

    fn expiry_of_discovered_ms(
        &self,
        weights: WeightsVersion,
        discovered_ms: u64,
        limit_ms: u64,
    ) -> u64 {
        let latest_ms = discovered_ms + limit_ms;
        if let Some((_, ended_ms)) = self.ended_records.iter().find(|(r, _)| r.covers(weights)) {
            return latest_ms.min(ended_ms + limit_ms - record_lease_ms(limit_ms));
        }
        match self.records.iter().any(|record| record.covers(weights)) {
            true => latest_ms,
            false => discovered_ms,
        }
    }

    fn add(&mut self, version: WeightsVersion, publication: Publication) -> bool {
        if !self.targets.is_empty() && version <= self.newest() {
            return false;
        }
        self.targets.push((version, publication));
        if self.targets.len() > HISTORY_LIMIT {
            self.targets.remove(0);
        }
        true
    }
}
