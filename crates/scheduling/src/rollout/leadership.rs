//! The time of the holder's lease.
//!
//! Invariant: two nodes never order within the span of one lease of each other. A holder orders
//! only while its lease surely runs, counted from before the call that renewed it; a new holder
//! waits out the lease of one that it may follow.

/// The part of its lease that a holder leaves unused, for orders under way.
const LEASE_MARGIN_PERCENT: u64 = 30;

/// The pause between the claims of nodes that come one after the other.
const CLAIM_STEP_MS: u64 = 400;

/// Whether a node is to claim the roll-out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Claim {
    /// It claims now.
    Now,
    /// It waits for those before it, or there is a holder.
    NotYet,
}

/// A node's view of its tenure.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    lease_ms: u64,
    // When another holder was last seen, or may have been.
    other_leader_seen_ms: u64,
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
    /// Makes the view of a node that starts now: a holder may have been there just before.
    pub fn new(lease_ms: u64, now_ms: u64) -> Self {
        Self { lease_ms, other_leader_seen_ms: now_ms, work_since_ms: None, lease: None }
    }

    /// Notes that another node holds the roll-out.
    pub fn observe_other_leader(&mut self, now_ms: u64) {
        self.other_leader_seen_ms = now_ms;
        self.lease = None;
    }

    /// Decides whether to claim. `rank` orders the nodes; `is_held` tells whether the key is there.
    pub fn claim(&mut self, has_work: bool, has_leader: bool, rank: usize, now_ms: u64) -> Claim {
        if !has_work || has_leader || self.lease.is_some() {
            self.work_since_ms = None;
            return Claim::NotYet;
        }
        let since_ms = *self.work_since_ms.get_or_insert(now_ms);
        match now_ms.saturating_sub(since_ms) >= rank as u64 * CLAIM_STEP_MS {
            true => Claim::Now,
            false => Claim::NotYet,
        }
    }

    /// Notes that the key was written; `asked_ms` is before the call that granted the lease.
    pub fn acquired(&mut self, fencing_number: u64, requested_ms: u64) {
        let commands_from_ms = self.other_leader_seen_ms + self.lease_ms;
        self.lease = Some(HeldLease {
            fencing_number,
            safe_until_ms: self.safe_until_ms(requested_ms),
            commands_from_ms,
        });
    }

    /// Notes that the lease was renewed; `asked_ms` is before the call.
    pub fn renewed(&mut self, requested_ms: u64) {
        let safe_until_ms = self.safe_until_ms(requested_ms);
        if let Some(lease) = &mut self.lease {
            lease.safe_until_ms = safe_until_ms;
        }
    }

    /// Notes that the lease or the key is lost.
    pub fn released(&mut self) {
        self.lease = None;
    }

    /// Returns the fencing number if the node may order now.
    pub fn active_fencing_number(&self, now_ms: u64) -> Option<u64> {
        let lease = self.lease?;
        (now_ms >= lease.commands_from_ms && now_ms < lease.safe_until_ms)
            .then_some(lease.fencing_number)
    }

    fn safe_until_ms(&self, requested_ms: u64) -> u64 {
        requested_ms + self.lease_ms * (100 - LEASE_MARGIN_PERCENT) / 100
    }
}
