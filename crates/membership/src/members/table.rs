//! All members that a node knows.

use std::collections::BTreeMap;

use crate::MemberRecord;
use crate::MemberState;
use crate::NodeKey;

/// How long a suspect may take to refute the suspicion.
pub const SUSPICION_TIMEOUT_MS: u64 = 5_000;

/// How long dead members are handed on to peers that do not know them.
pub const DEAD_SHARE_MS: u64 = 60_000;

/// How long dead members are remembered.
pub const DEAD_RETENTION_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// When the state last changed here.
    since_ms: u64,
    /// When a peer last showed that it had not heard of the death.
    stale_record_ms: u64,
}

/// The members by key, each with its greatest record.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeKey, Member>,
}

impl MemberTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a record. Returns whether it replaced what was known.
    pub fn merge(&mut self, now_ms: u64, record: MemberRecord) -> bool {
        let key = record.info.key();
        let Some(member) = self.members.get_mut(&key) else {
            self.members.insert(key, Member { record, since_ms: now_ms, stale_record_ms: now_ms });
            return true;
        };
        if record <= member.record {
            // A peer that takes a dead member for live is told, and with it the member itself.
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

    /// Returns whether the table holds a member.
    pub fn contains(&self, key: NodeKey) -> bool {
        self.members.contains_key(&key)
    }

    /// Returns how many members are known, dead ones included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Visits all records in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (NodeKey, &MemberRecord)> {
        self.members.iter().map(|(&key, member)| (key, &member.record))
    }

    /// Visits the records that are handed on to a peer that lacks them.
    pub fn shareable(&self, now_ms: u64) -> impl Iterator<Item = (NodeKey, &MemberRecord)> {
        let is_shareable = move |member: &Member| {
            member.record.state != MemberState::Dead
                || now_ms.saturating_sub(member.since_ms.max(member.stale_record_ms))
                    < DEAD_SHARE_MS
        };
        let members = self.members.iter().filter(move |(_, member)| is_shareable(member));
        members.map(|(&key, member)| (key, &member.record))
    }

    /// Marks a live or leaving member as suspect. Returns whether it did.
    pub fn suspect(&mut self, now_ms: u64, key: NodeKey) -> bool {
        let Some(member) = self.members.get(&key) else { return false };
        if member.record.state >= MemberState::Suspect {
            return false;
        }
        let record = MemberRecord { state: MemberState::Suspect, ..member.record.clone() };
        self.merge(now_ms, record)
    }

    /// Declares overdue suspects other than `own` dead. Returns their keys.
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

    /// Drops members that have been dead for long. Returns their keys.
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
