//! The layout with pages: many records in one key of the store.
//!
//! A service's orders are distributed over shards by the hash of their key. The records of a shard
//! are stored in pages, one per time slice and in order of time:
//! `redwingrill/orders/paged/SERVICE/SHARD/SLICE`.
//!
//! Invariants:
//!
//! - A page changes only by compare-and-swap.
//! - Page N+1 is created only after page N was observed as sealed, so at most one page of a shard
//!   is open.
//! - Keys are added only to the open page. The keys of a sealed page are final; only the state of
//!   its records still changes. So a claim whose key is in no sealed page, and whose swap of the
//!   open page succeeds, is the first claim of the key.
//! - The newest page of a shard is never deleted, so slice numbers are never reused.
//!
//! One rule depends on clocks. A node that was paused for longer than pages are kept could create a
//! page again that was deleted in the meantime. Therefore the cached view of a shard expires after
//! [`LayoutConfig::view_ttl_ms`] without a response from the store, and the response to a swap that
//! took longer is discarded. Pages are kept at least ten times as long after they were sealed.

mod index;
mod maintenance;
mod shard;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ClockReading;
use crate::ShardId;
use crate::layout::CallSlot;
use crate::layout::Completion;
use crate::layout::Layout;
use crate::layout::LayoutConfig;
use crate::layout::LayoutState;
use crate::layout::PendingOperation;
use crate::layout::StoreCall;
use crate::layout::StoreResponse;
use crate::layout::Submission;
use crate::layout::paged::shard::Shard;

/// The layout with pages.
#[derive(Debug)]
pub struct PagedLayout {
    config: LayoutConfig,
    slots: BTreeMap<ShardId, CallSlot>,
    shards: Vec<Shard>,
    ready: BTreeSet<CallSlot>,
    completions: Vec<Completion>,
    flushing: bool,
}

impl PagedLayout {
    /// Creates a layout with no cached pages.
    pub fn new(config: LayoutConfig) -> Self {
        Self {
            config,
            slots: BTreeMap::new(),
            shards: Vec::new(),
            ready: BTreeSet::new(),
            completions: Vec::new(),
            flushing: false,
        }
    }

    fn slot_of(&mut self, id: ShardId) -> CallSlot {
        if let Some(slot) = self.slots.get(&id) {
            return *slot;
        }
        let slot = CallSlot(self.shards.len() as u64);
        self.shards.push(Shard::new(&id, self.config));
        self.slots.insert(id, slot);
        slot
    }

    fn shard(&mut self, slot: CallSlot) -> &mut Shard {
        // Slots are indexes assigned by `slot_of`, and shards are never removed.
        &mut self.shards[slot.0 as usize]
    }
}

impl Layout for PagedLayout {
    fn submit(&mut self, submission: Submission, now: ClockReading) {
        let slot = self.slot_of(submission.operation.key.shard(self.config.shards));
        self.shard(slot).submit(PendingOperation::new(submission, now));
        self.ready.insert(slot);
    }

    fn next_call(&mut self, now: ClockReading) -> Option<(CallSlot, StoreCall)> {
        while let Some(slot) = self.ready.pop_first() {
            let flushing = self.flushing;
            let shard = &mut self.shards[slot.0 as usize];
            if let Some(call) = shard.advance(now, flushing, &mut self.completions) {
                return Some((slot, call));
            }
        }
        None
    }

    fn handle_response(&mut self, slot: CallSlot, response: StoreResponse, now: ClockReading) {
        let shard = &mut self.shards[slot.0 as usize];
        shard.handle_response(response, now, &mut self.completions);
        self.ready.insert(slot);
    }

    fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    fn next_wake_ms(&mut self, now: ClockReading) -> Option<u64> {
        let mut next: Option<u64> = None;
        for (index, shard) in self.shards.iter().enumerate() {
            let Some(at_ms) = shard.wake_at_ms(self.flushing) else { continue };
            if at_ms <= now.monotonic_ms {
                self.ready.insert(CallSlot(index as u64));
            }
            next = Some(next.map_or(at_ms, |next| next.min(at_ms)));
        }
        next
    }

    fn maintain(&mut self, shard: &ShardId, window_ms: u64, _now: ClockReading) {
        let slot = self.slot_of(shard.clone());
        self.shard(slot).maintain(window_ms);
        self.ready.insert(slot);
    }

    fn flush(&mut self) {
        self.flushing = true;
        self.ready.extend((0..self.shards.len() as u64).map(CallSlot));
    }

    fn state(&self) -> LayoutState {
        LayoutState {
            layout: "paged",
            waiting: self.shards.iter().map(Shard::pending).sum(),
            calls_in_flight: self.shards.iter().filter(|shard| shard.has_call_in_flight()).count(),
            documents: self.shards.iter().map(Shard::pages).sum(),
            keys: self.shards.iter().map(Shard::keys).sum(),
        }
    }
}
