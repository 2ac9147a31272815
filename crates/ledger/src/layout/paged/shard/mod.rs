//! One shard: its queue, the cached view of its pages, and the call in flight.
//!
//! [`queue`] processes the queue, and [`responses`] handles the responses of the store.

mod queue;
mod responses;

use std::collections::VecDeque;

use crate::ClockReading;
use crate::ShardId;
use crate::layout::Completion;
use crate::layout::LayoutConfig;
use crate::layout::Page;
use crate::layout::PendingOperation;
use crate::layout::StoreCall;
use crate::layout::paged::index::SealedIndex;
use crate::layout::paged::maintenance::MaintenanceStep;
use crate::layout::paged::maintenance::next_maintenance_step;
use crate::record::Verdict;
use crate::wire::encode_page;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;

/// A page as it was last read or written.
#[derive(Clone, Debug)]
struct PageView {
    slice: u64,
    revision: Option<Revision>,
    page: Page,
    /// When the call that returned this view was started; none if the view is an assumption.
    read_at_ms: Option<u64>,
}

/// The call in flight.
#[derive(Debug)]
enum Call {
    Load,
    Read(u64),
    Write(Write),
    Retire(u64, Page),
    Delete(u64),
}

/// A swap of a page with the operations that it completes.
#[derive(Debug)]
struct Write {
    slice: u64,
    expected: Expected,
    page: Page,
    batch: Vec<(PendingOperation, Verdict)>,
}

#[derive(Debug)]
struct InFlightCall {
    started: ClockReading,
    call: Call,
}

/// One shard.
#[derive(Debug)]
pub(super) struct Shard {
    config: LayoutConfig,
    prefix: String,
    /// When the store last confirmed the cached view; none if it must be loaded.
    confirmed_at: Option<ClockReading>,
    index: SealedIndex,
    open_slice: u64,
    open: Option<PageView>,
    /// The sealed page that was last read.
    last_sealed: Option<PageView>,
    queue: VecDeque<PendingOperation>,
    in_flight: Option<InFlightCall>,
    retry_at_ms: u64,
    next_write_at_ms: u64,
    maintenance_window_ms: Option<u64>,
}

impl Shard {
    pub(super) fn new(id: &ShardId, config: LayoutConfig) -> Self {
        Self {
            config,
            prefix: format!("redwingrill/orders/paged/{}/{}/", id.service, id.index),
            confirmed_at: None,
            index: SealedIndex::default(),
            open_slice: 0,
            open: None,
            last_sealed: None,
            queue: VecDeque::new(),
            in_flight: None,
            retry_at_ms: 0,
            next_write_at_ms: 0,
            maintenance_window_ms: None,
        }
    }

    pub(super) fn submit(&mut self, pending: PendingOperation) {
        self.queue.push_back(pending);
    }

    pub(super) fn maintain(&mut self, window_ms: u64) {
        self.maintenance_window_ms = Some(window_ms);
    }

    pub(super) fn pending(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn has_call_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    pub(super) fn pages(&self) -> usize {
        self.index.len() + usize::from(self.open.is_some())
    }

    pub(super) fn keys(&self) -> usize {
        self.index.keys()
    }

    /// Returns when [`Shard::advance`] next has work, on the monotonic clock.
    pub(super) fn wake_at_ms(&self, flushing: bool) -> Option<u64> {
        if self.in_flight.is_some() {
            return None;
        }
        let due = self.queue.iter().map(|pending| self.due_at_ms(pending, flushing)).min();
        let deadline = self.queue.iter().map(|pending| pending.submission.deadline_ms).min();
        let maintenance_at_ms = self.maintenance_window_ms.map(|_| self.retry_at_ms);
        [due, deadline, maintenance_at_ms].into_iter().flatten().min()
    }

    /// Returns when an operation is due to be written, on the monotonic clock.
    fn due_at_ms(&self, pending: &PendingOperation, flushing: bool) -> u64 {
        let linger_ms = self.config.finish_linger_ms;
        let linger_ms = if pending.is_claim() || flushing { 0 } else { linger_ms };
        let due_at_ms = pending.submitted_at_ms + linger_ms;
        due_at_ms.max(self.retry_at_ms).max(self.next_write_at_ms)
    }

    /// Processes the queue and maintenance until a store call is needed.
    pub(super) fn advance(
        &mut self,
        now: ClockReading,
        flushing: bool,
        completions: &mut Vec<Completion>,
    ) -> Option<StoreCall> {
        if self.in_flight.is_some() {
            return None;
        }
        self.drop_expired(now, completions);
        let is_due = |pending| self.due_at_ms(pending, flushing) <= now.monotonic_ms;
        let due = self.queue.iter().any(is_due);
        let maintenance_due =
            self.maintenance_window_ms.is_some() && self.retry_at_ms <= now.monotonic_ms;
        if !due && !maintenance_due {
            return None;
        }
        if self.confirmed_at.is_none_or(|at| now.since_ms(at) > self.config.view_ttl_ms) {
            let prefix = self.prefix.clone();
            return Some(self.start(now, Call::Load, StoreCall::List { prefix }));
        }
        if due && let Some(call) = self.advance_sealed(now, flushing, completions) {
            return Some(call);
        }
        if due && let Some(call) = self.advance_open(now, completions) {
            return Some(call);
        }
        self.advance_maintenance(now)
    }

    fn drop_expired(&mut self, now: ClockReading, completions: &mut Vec<Completion>) {
        let (expired, queue) =
            self.queue.drain(..).partition(|pending: &PendingOperation| pending.is_expired(now));
        self.queue = queue;
        let expired: VecDeque<PendingOperation> = expired;
        completions.extend(expired.into_iter().map(PendingOperation::give_up));
    }

    fn start(&mut self, now: ClockReading, call: Call, store_call: StoreCall) -> StoreCall {
        self.in_flight = Some(InFlightCall { started: now, call });
        store_call
    }

    fn path(&self, slice: u64) -> String {
        format!("{}{slice:012}", self.prefix)
    }

    fn start_get(&mut self, slice: u64, now: ClockReading) -> StoreCall {
        let key = self.path(slice);
        self.start(now, Call::Read(slice), StoreCall::Get { key })
    }

    fn advance_maintenance(&mut self, now: ClockReading) -> Option<StoreCall> {
        let window_ms = self.maintenance_window_ms?;
        let next = next_maintenance_step(
            &self.index,
            self.open_slice,
            window_ms,
            &self.config,
            now.wall_ms,
        );
        let Some(step) = next else {
            self.maintenance_window_ms = None;
            return None;
        };
        let (MaintenanceStep::Retire(slice) | MaintenanceStep::Delete(slice)) = step;
        let view = self.last_sealed.take_if(|view| view.slice == slice);
        let Some(PageView { revision: Some(revision), page, .. }) = view else {
            return Some(self.start_get(slice, now));
        };
        let key = self.path(slice);
        if step == MaintenanceStep::Delete(slice) {
            let call = StoreCall::Delete { key, expected: revision };
            return Some(self.start(now, Call::Delete(slice), call));
        }
        let page = page.retire();
        let value = encode_page(&page);
        let call = StoreCall::Swap { key, expected: Expected::At(revision), value, lease: None };
        Some(self.start(now, Call::Retire(slice, page), call))
    }
}
