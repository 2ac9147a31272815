//! The layout with one key per order.
//!
//! Each record is one key of the store, below `redwingrill/orders/single/SERVICE/SHARD/`. A claim
//! is one swap that expects the key to be absent, and a finish is a second swap. Records are
//! attached to shared leases that are never renewed, so the platform removes them
//! ([`leases`](super::leases)).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::ClockReading;
use crate::OrderKey;
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
use crate::layout::leases::Leases;
use crate::layout::pending::UnconfirmedWrite;
use crate::record::Action;
use crate::record::Record;
use crate::record::RecordState;
use crate::record::Verdict;
use crate::record::apply;
use crate::wire::decode_record;
use crate::wire::encode_record;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// The slot of lease grants; every tracked record has a slot of its own.
const LEASE_SLOT: CallSlot = CallSlot(0);
/// The document number of a record: each tracked record has a single document.
const DOCUMENT: u64 = 0;
/// The maximum number of idle records that stay cached for a later finish.
const IDLE_RECORDS_LIMIT: usize = 1_024;

/// The last known state of a record.
#[derive(Clone, Debug, Default)]
struct RecordView {
    revision: Option<Revision>,
    record: Option<Record>,
    /// When the call that returned this view was started; none if the view is an assumption.
    read_at_ms: Option<u64>,
}

#[derive(Debug)]
struct InFlightCall {
    started_at_ms: u64,
    /// The write of a swap; none for a read.
    write: Option<Write>,
}

#[derive(Debug)]
struct Write {
    expected: Expected,
    record: Record,
    pending: PendingOperation,
    verdict: Verdict,
}

/// A record with its pending operations.
#[derive(Debug)]
struct TrackedRecord {
    slot: CallSlot,
    view: RecordView,
    queue: VecDeque<PendingOperation>,
    in_flight: Option<InFlightCall>,
    retry_at_ms: u64,
    /// The retention window of the last claim; zero if there was none.
    window_ms: u64,
    /// Whether the queue is blocked until a lease is granted.
    needs_lease: bool,
    /// Whether a write got no response since the record was last read.
    needs_read: bool,
}

/// The layout with one key per order.
#[derive(Debug)]
pub struct SingleLayout {
    config: LayoutConfig,
    tracked_records: BTreeMap<OrderKey, TrackedRecord>,
    by_slot: BTreeMap<CallSlot, OrderKey>,
    ready: BTreeSet<OrderKey>,
    next_slot: u64,
    completions: Vec<Completion>,
    /// Records that were idle when they were added, oldest first.
    idle: VecDeque<OrderKey>,
    leases: Leases,
}

impl SingleLayout {
    /// Creates a layout with no cached records.
    pub fn new(config: LayoutConfig) -> Self {
        Self {
            config,
            tracked_records: BTreeMap::new(),
            by_slot: BTreeMap::new(),
            ready: BTreeSet::new(),
            next_slot: LEASE_SLOT.0 + 1,
            completions: Vec::new(),
            idle: VecDeque::new(),
            leases: Leases::new(config),
        }
    }

    fn prefix(shard: &ShardId) -> String {
        format!("redwingrill/orders/single/{}/{}/", shard.service, shard.index)
    }

    fn path(&self, key: &OrderKey) -> String {
        format!("{}{}", Self::prefix(&key.shard(self.config.shards)), key.hash)
    }

    /// Removes a record without pending operations. One that is not finished stays cached for a
    /// while, which saves a read when its finish arrives.
    fn evict_idle(&mut self, key: &OrderKey) {
        let Some(tracked) = self.tracked_records.get(key).filter(|tracked| tracked.is_idle())
        else {
            return;
        };
        let record = tracked.view.record.as_ref();
        if record.is_none_or(|record| record.state != RecordState::Recorded) {
            self.remove(key);
            return;
        }
        self.idle.push_back(key.clone());
        if self.idle.len() <= IDLE_RECORDS_LIMIT {
            return;
        }
        let Some(oldest) = self.idle.pop_front() else { return };
        if self.tracked_records.get(&oldest).is_some_and(TrackedRecord::is_idle) {
            self.remove(&oldest);
        }
    }

    fn remove(&mut self, key: &OrderKey) {
        if let Some(tracked) = self.tracked_records.remove(key) {
            self.by_slot.remove(&tracked.slot);
        }
    }
}

impl TrackedRecord {
    fn new(slot: CallSlot) -> Self {
        Self {
            slot,
            view: RecordView::default(),
            queue: VecDeque::new(),
            in_flight: None,
            retry_at_ms: 0,
            window_ms: 0,
            needs_lease: false,
            needs_read: false,
        }
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns the retention window of the record; zero if this node has seen no claim for it.
    fn window_ms(&mut self) -> u64 {
        let claims =
            self.queue.iter().filter_map(|pending| match &pending.submission.operation.action {
                Action::Claim(claim) => Some(claim.window_ms),
                _ => None,
            });
        self.window_ms = claims.last().unwrap_or(self.window_ms);
        self.window_ms
    }

    fn wake_at_ms(&self) -> Option<u64> {
        let deadline_ms = self.queue.front()?.submission.deadline_ms;
        // The response to a grant wakes the records that need a lease.
        Some(if self.needs_lease { deadline_ms } else { deadline_ms.min(self.retry_at_ms) })
    }

    /// Processes the queue until a store call is needed.
    fn advance(
        &mut self,
        path: &str,
        lease: Option<LeaseId>,
        now: ClockReading,
        completions: &mut Vec<Completion>,
    ) -> Option<StoreCall> {
        if self.in_flight.is_some() {
            return None;
        }
        self.needs_lease = false;
        while let Some(pending) = self.queue.pop_front() {
            if pending.is_expired(now) {
                completions.push(pending.give_up());
                continue;
            }
            if now.monotonic_ms < self.retry_at_ms {
                self.queue.push_front(pending);
                return None;
            }
            if self.needs_read {
                self.queue.push_front(pending);
                return Some(self.start_get(path, now));
            }
            let operation = &pending.submission.operation;
            let transition = apply(self.view.record.as_ref(), operation, now.wall_ms);
            if let Some(record) = transition.change {
                let Some(lease) = lease else {
                    self.needs_lease = true;
                    self.queue.push_front(pending);
                    return None;
                };
                let write = self.new_write(record, transition.verdict, pending);
                return Some(self.start_swap(path, write, lease, now));
            }
            // A verdict without a write is valid only if the record was read after the submission.
            if self.view.read_at_ms < Some(pending.submitted_at_ms) {
                self.queue.push_front(pending);
                return Some(self.start_get(path, now));
            }
            completions.push(pending.complete(transition.verdict));
        }
        None
    }

    fn start_get(&mut self, path: &str, now: ClockReading) -> StoreCall {
        self.in_flight = Some(InFlightCall { started_at_ms: now.monotonic_ms, write: None });
        StoreCall::Get { key: path.to_owned() }
    }

    fn new_write(&self, record: Record, verdict: Verdict, pending: PendingOperation) -> Write {
        let expected = self.view.revision.map_or(Expected::Absent, Expected::At);
        Write { expected, record, pending, verdict }
    }

    fn start_swap(
        &mut self,
        path: &str,
        write: Write,
        lease: LeaseId,
        now: ClockReading,
    ) -> StoreCall {
        let (key, expected) = (path.to_owned(), write.expected);
        let value = encode_record(&write.record);
        self.in_flight = Some(InFlightCall { started_at_ms: now.monotonic_ms, write: Some(write) });
        StoreCall::Swap { key, expected, value, lease: Some(lease) }
    }

    fn handle_response(
        &mut self,
        response: StoreResponse,
        now: ClockReading,
        backoff_ms: u64,
        completions: &mut Vec<Completion>,
    ) {
        let Some(in_flight) = self.in_flight.take() else { return };
        let read_at_ms = Some(in_flight.started_at_ms);
        match (in_flight.write, response) {
            (None, StoreResponse::Get(Ok(entry))) => {
                self.update_view(entry, read_at_ms, now, backoff_ms)
            }
            (Some(write), StoreResponse::Swap(Ok(Swap::Done(revision)))) => {
                self.view =
                    RecordView { revision: Some(revision), record: Some(write.record), read_at_ms };
                self.observe(Expected::At(revision));
                completions.push(write.pending.complete(write.verdict));
            }
            (Some(write), StoreResponse::Swap(Ok(Swap::Conflict(entry)))) => {
                self.queue.push_front(write.pending);
                self.update_view(entry, read_at_ms, now, backoff_ms);
            }
            (Some(mut write), StoreResponse::Swap(Err(error))) => {
                if error.may_have_taken_effect() {
                    let unconfirmed =
                        UnconfirmedWrite { document: DOCUMENT, expected: write.expected };
                    write.pending.unconfirmed_write = Some(unconfirmed);
                    self.needs_read = true;
                }
                self.queue.push_front(write.pending);
                self.retry_at_ms = now.monotonic_ms + backoff_ms;
            }
            _ => self.retry_at_ms = now.monotonic_ms + backoff_ms,
        }
    }

    /// Updates the view to the entry in the store.
    fn update_view(
        &mut self,
        entry: Option<Entry>,
        read_at_ms: Option<u64>,
        now: ClockReading,
        backoff_ms: u64,
    ) {
        let revision = entry.as_ref().map(|entry| entry.revision);
        let decoded = entry.map(|entry| decode_record(&entry.value)).transpose();
        let Ok(record) = decoded else {
            // A value that cannot be decoded is never overwritten; its operations time out.
            self.retry_at_ms = now.monotonic_ms + backoff_ms;
            return;
        };
        self.view = RecordView { revision, record, read_at_ms };
        self.needs_read = false;
        self.observe(revision.map_or(Expected::Absent, Expected::At));
    }

    fn observe(&mut self, found: Expected) {
        self.queue.iter_mut().for_each(|pending| pending.observe(DOCUMENT, found));
    }
}

impl Layout for SingleLayout {
    fn submit(&mut self, submission: Submission, now: ClockReading) {
        let key = submission.operation.key.clone();
        let next_slot = &mut self.next_slot;
        let by_slot = &mut self.by_slot;
        let tracked = self.tracked_records.entry(key.clone()).or_insert_with(|| {
            let slot = CallSlot(*next_slot);
            *next_slot += 1;
            by_slot.insert(slot, key.clone());
            TrackedRecord::new(slot)
        });
        tracked.queue.push_back(PendingOperation::new(submission, now));
        self.ready.insert(key);
    }

    fn next_call(&mut self, now: ClockReading) -> Option<(CallSlot, StoreCall)> {
        while let Some(key) = self.ready.pop_first() {
            let path = self.path(&key);
            let Some(tracked) = self.tracked_records.get_mut(&key) else { continue };
            let lease = self.leases.current(&key.service, tracked.window_ms(), now);
            let call = tracked.advance(&path, lease, now, &mut self.completions);
            let slot = tracked.slot;
            if let Some(call) = call {
                return Some((slot, call));
            }
            self.evict_idle(&key);
        }
        self.leases.next_call(now).map(|call| (LEASE_SLOT, call))
    }

    fn handle_response(&mut self, slot: CallSlot, response: StoreResponse, now: ClockReading) {
        if slot == LEASE_SLOT {
            self.leases.handle_response(response, now);
            let pending = self.tracked_records.iter().filter(|(_, tracked)| tracked.needs_lease);
            self.ready.extend(pending.map(|(key, _)| key.clone()));
            return;
        }
        let Some(key) = self.by_slot.get(&slot).cloned() else { return };
        if let StoreResponse::Swap(Err(error)) = &response
            && !matches!(error, StoreError::ResponseLost { .. })
        {
            self.leases.forget(&key.service);
        }
        if let Some(tracked) = self.tracked_records.get_mut(&key) {
            tracked.handle_response(
                response,
                now,
                self.config.retry_backoff_ms,
                &mut self.completions,
            );
        }
        self.ready.insert(key);
    }

    fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    fn next_wake_ms(&mut self, now: ClockReading) -> Option<u64> {
        let pending =
            self.tracked_records.iter().filter(|(_, tracked)| tracked.in_flight.is_none());
        let times = pending.filter_map(|(key, tracked)| Some((tracked.wake_at_ms()?, key.clone())));
        let (due, later): (Vec<_>, Vec<_>) =
            times.partition(|(at_ms, _)| *at_ms <= now.monotonic_ms);
        let next = later.into_iter().map(|(at_ms, _)| at_ms).min();
        let now_ms = (!due.is_empty()).then_some(now.monotonic_ms);
        self.ready.extend(due.into_iter().map(|(_, key)| key));
        [now_ms, next, self.leases.wake_at_ms()].into_iter().flatten().min()
    }

    // The platform removes records when their lease expires.
    fn maintain(&mut self, _shard: &ShardId, _window_ms: u64, _now: ClockReading) {}

    fn flush(&mut self) {}

    fn state(&self) -> LayoutState {
        LayoutState {
            layout: "single",
            waiting: self.tracked_records.values().map(|tracked| tracked.queue.len()).sum(),
            calls_in_flight: self
                .tracked_records
                .values()
                .filter(|tracked| tracked.in_flight.is_some())
                .count(),
            documents: self.tracked_records.len(),
            keys: 0,
        }
    }
}
