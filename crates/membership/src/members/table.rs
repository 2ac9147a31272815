//! Table of all members known to a node.

use std::collections::BTreeMap;

use crate::MemberRecord;
use crate::MemberState;
use crate::NodeKey;

/// Time in which a suspect can refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT_MS: u64 = 5_000;

/// Time for which the record of a dead member is sent to peers that do not have it.
pub const DEAD_SHARE_MS: u64 = 60_000;

/// Time after which a dead member is removed from the table.
pub const DEAD_RETENTION_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// When the state last changed here.
    since_ms: u64,
    /// When a peer last sent an outdated record with a state other than dead.
    stale_record_ms: u64,
}

/// The members by key, each with the greatest record received.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeKey, Member>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a record. Returns whether it was greater than the stored one.
    pub fn merge(&mut self, now_ms: u64, record: MemberRecord) -> bool {
        let key = record.info.key();
        let Some(member) = self.members.get_mut(&key) else {
            self.members.insert(key, Member { record, since_ms: now_ms, stale_record_ms: now_ms });
            return true;
        };
        if record <= member.record {
            // Restarts the sharing of a dead member's record: the peer, and through it the member
            // itself, must learn of the death.
            if record.state != MemberState::Dead {
                member.stale_record_ms = now_ms;
            }
            return false;
        }
        if record.state != member.record.state || record.incarnation != member.record.incarnation {
            member.since_ms = now_ms;
        }
        member.record = record;
        true
    }

    /// Returns the record of a member.
    pub fn get(&self, key: NodeKey) -> Option<&MemberRecord> {
        self.members.get(&key).map(|member| &member.record)
    }

    /// Returns whether the table contains a member.
    pub fn contains(&self, key: NodeKey) -> bool {
        self.members.contains_key(&key)
    }

    /// Returns the number of members, including dead ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Iterates over all records, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (NodeKey, &MemberRecord)> {
        self.members.iter().map(|(&key, member)| (key, &member.record))
    }

    /// Iterates over the records that are sent to peers. Records of members that have been dead for
    /// longer than `DEAD_SHARE_MS` are left out.
    pub fn shareable(&self, now_ms: u64) -> impl Iterator<Item = (NodeKey, &MemberRecord)> {
        let is_shareable = move |member: &Member| {
            member.record.state != MemberState::Dead
                || now_ms.saturating_sub(member.since_ms.max(member.stale_record_ms))
                    < DEAD_SHARE_MS
        };
        let members = self.members.iter().filter(move |(_, member)| is_shareable(member));
        members.map(|(&key, member)| (key, &member.record))
    }

    /// Marks a live or leaving member as suspect. Returns whether the state changed.
    pub fn suspect(&mut self, now_ms: u64, key: NodeKey) -> bool {
        let Some(member) = self.members.get(&key) else { return false };
        if member.record.state >= MemberState::Suspect {
            return false;
        }
        let record = MemberRecord { state: MemberState::Suspect, ..member.record.clone() };
        self.merge(now_ms, record)
    }

    /// Marks suspects other than `own_key` as dead after `SUSPICION_TIMEOUT_MS`. Returns their
    /// keys.
    pub fn expire_suspects(&mut self, now_ms: u64, own_key: NodeKey) -> Vec<NodeKey> {
        let is_overdue = |member: &Member| {
            member.record.state == MemberState::Suspect
                && now_ms.saturating_sub(member.since_ms) >= SUSPICION_TIMEOUT_MS
        };
        let members = self.members.iter_mut();
        let suspects = members.filter(|(key, member)| **key != own_key && is_overdue(member));
        let mut newly_dead = Vec::new();
        for (&key, member) in suspects {
            member.record.state = MemberState::Dead;
            member.since_ms = now_ms;
            newly_dead.push(key);
        }
        newly_dead
    }

    /// Removes members that have been dead for `DEAD_RETENTION_MS`. Returns their keys.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<NodeKey> {
        let is_overdue = |member: &Member| {
            member.record.state == MemberState::Dead
                && now_ms.saturating_sub(member.since_ms) >= DEAD_RETENTION_MS
        };
        let members = self.members.iter();
        let expired: Vec<NodeKey> =
            members.filter(|(_, member)| is_overdue(member)).map(|(&key, _)| key).collect();
        for key in &expired {
            self.members.remove(key);
        }
        expired
    }
}
