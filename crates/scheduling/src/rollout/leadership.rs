//! The time of the holder's lease.
//!
//! Invariant: two nodes never order within the span of one lease of each other. A holder orders
//! only while its lease surely runs, counted from before the call that renewed it; a new holder
//! waits out the lease of one that it may follow.

/// The part of its lease that a holder leaves unused, for orders under way.
const MARGIN_PERCENT: u64 = 30;

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
    other_seen_ms: u64,
    work_since_ms: Option<u64>,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    sure_until_ms: u64,
    orders_from_ms: u64,
}

impl Leadership {
    /// Makes the view of a node that starts now: a holder may have been there just before.
    pub fn new(lease_ms: u64, now_ms: u64) -> Self {
        Self { lease_ms, other_seen_ms: now_ms, work_since_ms: None, held: None }
    }

    /// Notes that another node holds the roll-out.
    pub fn observe_other_leader(&mut self, now_ms: u64) {
        self.other_seen_ms = now_ms;
        self.held = None;
    }

    /// Decides whether to claim. `rank` orders the nodes; `is_held` tells whether the key is there.
    pub fn claim(&mut self, has_work: bool, is_held: bool, rank: usize, now_ms: u64) -> Claim {
        if !has_work || is_held || self.held.is_some() {
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
    pub fn acquired(&mut self, fence: u64, asked_ms: u64) {
        let orders_from_ms = self.other_seen_ms + self.lease_ms;
        self.held =
            Some(Held { fence, sure_until_ms: self.sure_until_ms(asked_ms), orders_from_ms });
    }

    /// Notes that the lease was renewed; `asked_ms` is before the call.
    pub fn renewed(&mut self, asked_ms: u64) {
        let sure_until_ms = self.sure_until_ms(asked_ms);
        if let Some(held) = &mut self.held {
            held.sure_until_ms = sure_until_ms;
        }
    }

    /// Notes that the lease or the key is lost.
    pub fn released(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number if the node may order now.
    pub fn active_fencing_number(&self, now_ms: u64) -> Option<u64> {
        let held = self.held?;
        (now_ms >= held.orders_from_ms && now_ms < held.sure_until_ms).then_some(held.fence)
    }

    fn sure_until_ms(&self, asked_ms: u64) -> u64 {
        asked_ms + self.lease_ms * (100 - MARGIN_PERCENT) / 100
    }
}
