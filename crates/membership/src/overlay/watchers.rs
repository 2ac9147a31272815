//! Selection of the nodes that poll an engine's load.

use std::collections::BTreeMap;

use super::rendezvous::highest_scored;
use crate::MemberRecord;
use crate::MemberState;
use crate::MemberTable;
use crate::NodeKey;
use crate::UpstreamKey;

/// Fleets with up to this many engines assign two watchers to each.
const DOUBLE_WATCH_MAX_ENGINES: usize = 64;

/// Returns the number of watchers per engine.
pub fn watchers_per_engine(engines: usize) -> usize {
    if engines <= DOUBLE_WATCH_MAX_ENGINES { 2 } else { 1 }
}

/// The nodes eligible as watchers, by failure domain.
#[derive(Clone, Debug)]
pub struct WatchPlan<'a> {
    by_domain: BTreeMap<&'a str, Vec<NodeKey>>,
    all: Vec<NodeKey>,
}

impl<'a> WatchPlan<'a> {
    /// Collects the eligible nodes. A suspect keeps its engines until it is dead.
    pub fn new(members: &'a MemberTable) -> Self {
        let mut plan = Self { by_domain: BTreeMap::new(), all: Vec::new() };
        for (key, record) in members.iter().filter(|(_, record)| may_watch(record)) {
            plan.by_domain.entry(&record.info.failure_domain).or_default().push(key);
            plan.all.push(key);
        }
        plan
    }

    /// Returns the watchers of an engine, preferring nodes of its failure domain.
    pub fn watchers(&self, engine: UpstreamKey, domain: &str, count: usize) -> Vec<NodeKey> {
        let local = self.by_domain.get(domain).map_or(&[][..], Vec::as_slice);
        let mut watchers = highest_scored(u64::from(engine.0), local.iter().copied(), count);
        if watchers.len() < count {
            let remote = self.all.iter().copied().filter(|key| !local.contains(key));
            let missing = count - watchers.len();
            watchers.extend(highest_scored(u64::from(engine.0), remote, missing));
        }
        watchers
    }

    /// Returns whether nodes of failure domain `own_domain` can be selected for engines of
    /// `domain`.
    pub fn can_watch(&self, own_domain: &str, domain: &str, count: usize) -> bool {
        let local = self.by_domain.get(domain).map_or(0, Vec::len);
        own_domain == domain || local < count
    }

    /// Returns the nodes that read the platform's instance list on behalf of the fleet.
    pub fn instance_list_readers(&self, count: usize) -> Vec<NodeKey> {
        /// An arbitrary hash subject, identical on every node.
        const INSTANCE_LIST: u64 = 0x1157;
        highest_scored(INSTANCE_LIST, self.all.iter().copied(), count)
    }
}

fn may_watch(record: &MemberRecord) -> bool {
    matches!(record.state, MemberState::Live | MemberState::Suspect)
}
