//! Leadership of the roll-out and the time of its lease.
//!
//! Invariant: commands of two leading instances are at least one lease duration apart. A leader
//! sends commands only while its lease is certain to be valid, counted from before the call that
//! renewed it. A new leader waits for the lease of a possible predecessor to expire. While the key
//! still belongs to an earlier leadership of the same instance, no other instance can have led
//! since, so a node that was killed and started takes the key over and goes on at once.
//!
//! All of this holds within an era of the store. Once the store comes back from an older copy, the
//! key and the leases of earlier eras prove nothing, so every instance waits as for a predecessor.

use crate::turns::turn_delay_ms;
use redwingrill_routing::Era;
use redwingrill_routing::Revision;

/// The percentage of its lease that a leader leaves unused, for commands in progress.
const LEASE_MARGIN_PERCENT: u64 = 30;

/// Who holds the leader's key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum KeyHolder {
    /// Nobody.
    Nobody,
    /// Another instance.
    OtherInstance,
    /// An earlier leadership of this instance: of this process, or of one that has ended.
    ThisInstance,
}

/// Whether a node should claim leadership.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Claim {
    /// Claim now.
    Now,
    /// Take the key over from an earlier leadership of this instance, now.
    TakeOver,
    /// Wait for nodes with a lower rank, or there is already a leader.
    NotYet,
}

/// A node's view of the leadership.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    lease_ms: u64,
    // The last time at which another node was, or may have been, the leader.
    other_leader_seen_ms: u64,
    // The latest era of the store that the node has seen.
    era: Era,
    work_since_ms: Option<u64>,
    lease: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing_number: u64,
    safe_until_ms: u64,
    commands_from_ms: u64,
}

impl Leadership {
    /// Creates the view of a node that starts now; another leader may have been active until now.
    pub fn new(lease_ms: u64, now_ms: u64) -> Self {
        let (era, other_leader_seen_ms) = (Era::default(), now_ms);
        Self { lease_ms, other_leader_seen_ms, era, work_since_ms: None, lease: None }
    }

    /// Records the era of the store. Returns whether the node has lost its leadership: the store
    /// came back from a copy since the key was written.
    pub fn observe_era(&mut self, era: Era, now_ms: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        let had_lease = self.lease.is_some();
        self.observe_other_leader(now_ms);
        had_lease
    }

    /// Records that another node is the leader.
    pub fn observe_other_leader(&mut self, now_ms: u64) {
        self.other_leader_seen_ms = now_ms;
        self.lease = None;
    }

    /// Decides whether to claim leadership. `rank` is the node's position in the order of turns.
    pub fn claim(&mut self, has_work: bool, holder: KeyHolder, rank: usize, now_ms: u64) -> Claim {
        if !has_work || holder == KeyHolder::OtherInstance || self.lease.is_some() {
            self.work_since_ms = None;
            return Claim::NotYet;
        }
        if holder == KeyHolder::ThisInstance {
            return Claim::TakeOver;
        }
        let since_ms = *self.work_since_ms.get_or_insert(now_ms);
        match now_ms.saturating_sub(since_ms) >= turn_delay_ms(rank) {
            true => Claim::Now,
            false => Claim::NotYet,
        }
    }

    /// Records that the key was written at a revision; `requested_ms` is before the call that
    /// granted the lease.
    pub fn acquired(&mut self, written: Revision, requested_ms: u64) {
        self.observe_era(written.era(), requested_ms);
        let commands_from_ms = self.other_leader_seen_ms + self.lease_ms;
        self.lease = Some(HeldLease {
            fencing_number: written.as_u64(),
            safe_until_ms: self.safe_until_ms(requested_ms),
            commands_from_ms,
        });
    }

    /// Records that the key was taken over from an earlier leadership of this instance, which had
    /// sent commands and so had waited for its predecessor.
    pub fn taken_over(&mut self, written: Revision, requested_ms: u64) {
        self.observe_era(written.era(), requested_ms);
        self.lease = Some(HeldLease {
            fencing_number: written.as_u64(),
            safe_until_ms: self.safe_until_ms(requested_ms),
            commands_from_ms: requested_ms,
        });
    }

    /// Records that the lease was renewed; `requested_ms` is before the call.
    pub fn renewed(&mut self, requested_ms: u64) {
        let safe_until_ms = self.safe_until_ms(requested_ms);
        if let Some(lease) = &mut self.lease {
            lease.safe_until_ms = safe_until_ms;
        }
    }

    /// Records that the key was given up.
    pub fn released(&mut self) {
        self.lease = None;
    }

    /// Records that the lease or the key was lost: another node may have led until now.
    pub fn lost(&mut self, now_ms: u64) {
        self.observe_other_leader(now_ms);
    }

    /// Returns how long the node still waits for the lease of a possible predecessor, in
    /// milliseconds.
    pub fn commands_wait_ms(&self, now_ms: u64) -> u64 {
        self.lease.map_or(0, |lease| lease.commands_from_ms.saturating_sub(now_ms))
    }

    /// Returns the fencing number if the node may send commands now.
    pub fn active_fencing_number(&self, now_ms: u64) -> Option<u64> {
        let lease = self.lease?;
        (now_ms >= lease.commands_from_ms && now_ms < lease.safe_until_ms)
            .then_some(lease.fencing_number)
    }

    fn safe_until_ms(&self, requested_ms: u64) -> u64 {
        requested_ms + self.lease_ms * (100 - LEASE_MARGIN_PERCENT) / 100
    }
}
