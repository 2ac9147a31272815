//! Applies records and items received from peers.

use super::state::Cluster;
use crate::DecodedFrame;
use crate::Digest;
use crate::InForce;
use crate::Item;
use crate::ItemKind;
use crate::MemberInfo;
use crate::MemberRecord;
use crate::MemberState;
use crate::NodeKey;
use crate::Payload;

impl Cluster {
    pub(super) fn apply_received(&mut self, now_ms: u64, received: DecodedFrame) {
        for record in received.members {
            self.merge_record(now_ms, record);
        }
        for (origin, kind, item) in received.items {
            self.merge_item(now_ms, origin, kind, item);
        }
    }

    fn merge_record(&mut self, now_ms: u64, record: MemberRecord) {
        let key = record.info.key();
        if key == self.key {
            self.refute_record(now_ms, &record);
            return;
        }
        let state = record.state;
        let previous = self.members.get(key).map(|existing| existing.state);
        if !self.members.merge(now_ms, record) {
            return;
        }
        let was_suspected = previous.is_some_and(|previous| previous >= MemberState::Suspect);
        if was_suspected && state < MemberState::Suspect {
            self.refutations.entry(key).or_default().record(now_ms);
        }
        self.mark_members_changed();
    }

    /// Refutes a record of this node that it did not publish, by raising the incarnation.
    fn refute_record(&mut self, now_ms: u64, record: &MemberRecord) {
        if *record <= self.own_record {
            return;
        }
        let Some(incarnation) = record.incarnation.checked_add(1) else { return };
        self.update_own_record(now_ms, incarnation, self.own_record.state);
    }

    pub(super) fn update_own_record(&mut self, now_ms: u64, incarnation: u32, state: MemberState) {
        self.own_record.incarnation = incarnation;
        self.own_record.state = state;
        self.members.merge(now_ms, self.own_record.clone());
        self.mark_members_changed();
    }

    fn merge_item(&mut self, now_ms: u64, origin: NodeKey, kind: ItemKind, item: Item) {
        if origin == self.key {
            self.supersede_own_item(now_ms, kind, &item);
            return;
        }
        if !self.digest.merge(now_ms, origin, kind, item) {
            return;
        }
        match kind {
            ItemKind::InForce => self.update_newest_in_force(origin),
            ItemKind::WatchList | ItemKind::EngineLevels => self.changes.engines = true,
            ItemKind::HeavyHitters => self.changes.heavy_hitters = true,
            ItemKind::HotPrefixes => self.changes.hot_prefixes = true,
            ItemKind::LeavingUpstreams => {
                self.changes.leaving = true;
                self.mark_urgent();
            }
        }
    }

    /// Updates the newest known configuration from an origin's `InForce` item.
    pub(super) fn update_newest_in_force(&mut self, origin: NodeKey) {
        let Some(in_force) = in_force_of(&self.digest, origin) else { return };
        if in_force.generation > self.newest.generation {
            self.newest = in_force;
            self.newest_origins.clear();
            self.changes.generation = true;
        }
        if in_force.generation == self.newest.generation {
            self.newest_origins.insert(origin);
            self.mark_urgent();
        }
    }

    pub(super) fn mark_members_changed(&mut self) {
        self.is_plan_stale = true;
        self.changes.members = true;
        self.mark_urgent();
    }

    /// Announces that this node is about to stop. Has no effect if it is already leaving.
    pub fn leave(&mut self, now_ms: u64) {
        if self.own_record.state != MemberState::Leaving {
            let incarnation = self.own_record.incarnation.saturating_add(1);
            self.update_own_record(now_ms, incarnation, MemberState::Leaving);
        }
    }

    /// Adds the addresses of router instances from the platform's instance list to the seeds.
    pub fn add_listed_seeds(&mut self, listed: &[MemberInfo]) {
        let is_known = |info: &&MemberInfo| self.members.contains(info.key());
        let unknown: Vec<_> = listed.iter().filter(|info| !is_known(info)).collect();
        for info in unknown {
            let address = info.address;
            if address != self.own_record.info.address && !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }
}

fn in_force_of(digest: &Digest, origin: NodeKey) -> Option<InForce> {
    let item = digest.get(origin, ItemKind::InForce)?;
    InForce::decode(&item.payload).ok()
}
