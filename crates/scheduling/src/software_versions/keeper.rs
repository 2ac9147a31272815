//! Decides when this node writes the record of a service.
//!
//! Nodes take turns, so that one of them writes unless it fails, see [`crate::turns`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use super::RecordChange;
use super::SoftwareRecord;
use crate::turns::retry_delay_ms;
use crate::turns::turn_delay_ms;
use redwingrill_routing::Era;
use redwingrill_routing::SoftwareVersion;

/// The delay after a failed write, for the node whose turn comes first.
const RETRY_MS: u64 = 300;

/// What a node sees of a service.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ServiceSoftware {
    /// The versions that its upstreams list, whatever their state.
    pub listed: BTreeSet<SoftwareVersion>,
    /// The record; `None` if there is none of this era of the store.
    pub record: Option<SoftwareRecord>,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    seen: ServiceSoftware,
    // The versions of all records that this node has seen and that may still matter.
    remembered: BTreeSet<SoftwareVersion>,
    // Since when a version has to be added.
    incomplete_since_ms: Option<u64>,
    // Since when the record lists these although no upstream does.
    unlisted_since_ms: BTreeMap<SoftwareVersion, u64>,
    // Since when the record may lack versions.
    lacking_since_ms: Option<u64>,
    paused_until_ms: u64,
}

/// Follows the services and their records.
#[derive(Clone, Debug, Default)]
pub struct RecordKeeper {
    era: Era,
    // How long a stream can last.
    retention_ms: u64,
    services: HashMap<String, ServiceState>,
}

impl RecordKeeper {
    /// Takes over what the node sees: the era of the store, how long a stream can last, and the
    /// services.
    pub fn observe(
        &mut self,
        era: Era,
        retention_ms: u64,
        services: HashMap<String, ServiceSoftware>,
        now_ms: u64,
    ) {
        self.retention_ms = retention_ms;
        let is_restored = self.era < era;
        self.era = era;
        for (service, seen) in services {
            let state = self.services.entry(service).or_default();
            if is_restored {
                state.unlisted_since_ms.clear();
                state.lacking_since_ms = None;
            }
            state.observe(seen, now_ms);
        }
    }

    /// Returns whether a record is to be changed, now or later.
    pub fn has_work(&self) -> bool {
        self.services.values().any(|state| {
            state.incomplete_since_ms.is_some()
                || state.lacking_since_ms.is_some()
                || !state.unlisted_since_ms.is_empty()
        })
    }

    /// Returns the next service whose record this node has to change, with the change, for a node with
    /// this position in the order of turns.
    pub fn next(&self, rank: usize, now_ms: u64) -> Option<(&str, RecordChange)> {
        let turn_ms = turn_delay_ms(rank);
        self.services.iter().find_map(|(service, state)| {
            let change = state.change(self.retention_ms, turn_ms, now_ms);
            let is_due = !change.is_empty() && now_ms >= state.paused_until_ms;
            is_due.then_some((service.as_str(), change))
        })
    }

    /// Returns the versions of a service that records of earlier eras listed, as far as this node knows.
    pub fn remembered(&self, service: &str) -> BTreeSet<SoftwareVersion> {
        self.services.get(service).map(|state| state.remembered.clone()).unwrap_or_default()
    }

    /// Delays the next write of a record after a try, for a node with this position in the order of
    /// turns. Its effect takes a moment to be seen.
    pub fn delay(&mut self, service: &str, rank: usize, now_ms: u64) {
        if let Some(state) = self.services.get_mut(service) {
            state.paused_until_ms = now_ms + retry_delay_ms(rank, RETRY_MS);
        }
    }
}

impl ServiceState {
    fn observe(&mut self, seen: ServiceSoftware, now_ms: u64) {
        let recorded = seen.record.as_ref().map(|record| &record.versions);
        let is_complete = recorded.is_some_and(|recorded| seen.listed.is_subset(recorded));
        self.incomplete_since_ms = (!is_complete && !seen.listed.is_empty())
            .then(|| self.incomplete_since_ms.unwrap_or(now_ms));
        let is_lacking = seen.record.as_ref().is_some_and(|record| record.may_lack_versions);
        self.lacking_since_ms = is_lacking.then(|| self.lacking_since_ms.unwrap_or(now_ms));
        let unlisted =
            recorded.into_iter().flatten().filter(|version| !seen.listed.contains(version));
        let unlisted = unlisted.map(|version| {
            let since_ms = self.unlisted_since_ms.get(version).copied().unwrap_or(now_ms);
            (version.clone(), since_ms)
        });
        self.unlisted_since_ms = unlisted.collect();
        if let Some(record) = &seen.record {
            self.remembered.clone_from(&record.versions);
        }
        self.seen = seen;
    }

    fn change(&self, retention_ms: u64, turn_ms: u64, now_ms: u64) -> RecordChange {
        let has_elapsed = |since_ms: u64, wait_ms| now_ms >= since_ms + wait_ms + turn_ms;
        let must_add = self.incomplete_since_ms.is_some_and(|since_ms| has_elapsed(since_ms, 0));
        let removed = self.unlisted_since_ms.iter();
        let removed = removed.filter(|&(_, &since_ms)| has_elapsed(since_ms, retention_ms));
        RecordChange {
            added: if must_add { self.seen.listed.clone() } else { BTreeSet::new() },
            removed: removed.map(|(version, _)| version.clone()).collect(),
            is_complete: self
                .lacking_since_ms
                .is_some_and(|since_ms| has_elapsed(since_ms, retention_ms)),
        }
    }
}
