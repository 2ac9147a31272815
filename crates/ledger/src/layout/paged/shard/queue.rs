//! Processes the queue of a shard.

use std::collections::VecDeque;

use crate::ClockReading;
use crate::layout::Completion;
use crate::layout::Page;
use crate::layout::PendingOperation;
use crate::layout::StoreCall;
use crate::layout::paged::shard::Call;
use crate::layout::paged::shard::PageView;
use crate::layout::paged::shard::Shard;
use crate::layout::paged::shard::Write;
use crate::record::Verdict;
use crate::record::apply;
use crate::wire::encode_page;
use redwingrill_ports::Expected;

impl Shard {
    /// Processes the operations on records of sealed pages, one page at a time.
    pub(super) fn advance_sealed(
        &mut self,
        now: ClockReading,
        flushing: bool,
        completions: &mut Vec<Completion>,
    ) -> Option<StoreCall> {
        loop {
            let due = self.queue.iter().find_map(|pending| {
                let is_due = self.due_at_ms(pending, flushing) <= now.monotonic_ms;
                let (slice, page) = self.index.find(pending.submission.operation.key.hash)?;
                is_due.then_some((slice, page.retired, pending.submitted_at_ms))
            });
            let (slice, retired, submitted_at_ms) = due?;
            if retired {
                self.refuse_retired(slice, completions);
                continue;
            }
            let view = self
                .last_sealed
                .take_if(|view| view.slice == slice && view.read_at_ms >= Some(submitted_at_ms));
            let Some(view) = view else {
                return Some(self.start_get(slice, now));
            };
            if let Some(call) = self.write_sealed(view, now, completions) {
                return Some(call);
            }
        }
    }

    /// Removes the operations on records of one sealed page from the queue.
    fn take_pending_of_page(&mut self, slice: u64) -> Vec<PendingOperation> {
        let index = &self.index;
        let is_in_page = |pending: &PendingOperation| {
            let found = index.find(pending.submission.operation.key.hash);
            found.is_some_and(|(found, _)| found == slice)
        };
        let (matching, queue) = self.queue.drain(..).partition::<Vec<_>, _>(is_in_page);
        self.queue = queue.into();
        matching
    }

    fn refuse_retired(&mut self, slice: u64, completions: &mut Vec<Completion>) {
        for pending in self.take_pending_of_page(slice) {
            let verdict = missing_verdict(&pending);
            completions.push(pending.complete(verdict));
        }
    }

    fn write_sealed(
        &mut self,
        view: PageView,
        now: ClockReading,
        completions: &mut Vec<Completion>,
    ) -> Option<StoreCall> {
        let mut page = view.page.clone();
        let mut batch = Vec::new();
        let mut changed = false;
        for pending in self.take_pending_of_page(view.slice) {
            let operation = &pending.submission.operation;
            let hash = operation.key.hash;
            // The keys of a sealed page are final, so a missing record has expired.
            let Some(record) = page.records.get(&hash) else {
                let verdict = missing_verdict(&pending);
                batch.push((pending, verdict));
                continue;
            };
            let transition = apply(Some(record), operation, now.wall_ms);
            if let Some(record) = transition.change {
                page.records.insert(hash, record);
                changed = true;
            }
            batch.push((pending, transition.verdict));
        }
        if changed {
            return Some(self.start_swap(&view, page, batch, now));
        }
        self.complete_fresh(&view, batch, completions);
        self.last_sealed = Some(view);
        None
    }

    /// Completes the operations that were submitted before the page was read, and requeues the
    /// others.
    fn complete_fresh(
        &mut self,
        view: &PageView,
        batch: Vec<(PendingOperation, Verdict)>,
        completions: &mut Vec<Completion>,
    ) {
        for (pending, verdict) in batch {
            if view.read_at_ms >= Some(pending.submitted_at_ms) {
                completions.push(pending.complete(verdict));
            } else {
                self.queue.push_back(pending);
            }
        }
    }

    /// Processes the operations on records of the open page and on new records.
    pub(super) fn advance_open(
        &mut self,
        now: ClockReading,
        completions: &mut Vec<Completion>,
    ) -> Option<StoreCall> {
        let index = &self.index;
        let is_open = |pending: &PendingOperation| {
            index.find(pending.submission.operation.key.hash).is_none()
        };
        if !self.queue.iter().any(is_open) {
            return None;
        }
        let Some(view) = self.open.take() else {
            return Some(self.start_get(self.open_slice, now));
        };
        let mut page = view.page.clone();
        let mut batch = Vec::new();
        let mut remaining = VecDeque::new();
        let mut changed = false;
        for pending in std::mem::take(&mut self.queue) {
            let operation = &pending.submission.operation;
            let hash = operation.key.hash;
            let full = page.records.len() >= self.config.page_records_limit;
            let fits = !full || page.records.contains_key(&hash);
            if !fits || self.index.find(hash).is_some() {
                remaining.push_back(pending);
                continue;
            }
            let transition = apply(page.records.get(&hash), operation, now.wall_ms);
            if let Some(record) = transition.change {
                let added = page.records.insert(hash, record).is_none();
                page.changed_at_ms = if added { now.wall_ms } else { page.changed_at_ms };
                changed = true;
            }
            batch.push((pending, transition.verdict));
        }
        self.queue = remaining;
        // A full page that is still open must be sealed before the queue can make progress.
        if changed || view.page.records.len() >= self.config.page_records_limit {
            return Some(self.start_open_swap(&view, page, batch, now));
        }
        let stale =
            batch.iter().any(|(pending, _)| view.read_at_ms < Some(pending.submitted_at_ms));
        self.complete_fresh(&view, batch, completions);
        let slice = view.slice;
        self.open = Some(view);
        stale.then(|| self.start_get(slice, now))
    }

    fn start_open_swap(
        &mut self,
        view: &PageView,
        mut page: Page,
        batch: Vec<(PendingOperation, Verdict)>,
        now: ClockReading,
    ) -> StoreCall {
        if view.revision.is_none() {
            page.opened_at_ms = now.wall_ms;
        }
        let full = page.records.len() >= self.config.page_records_limit;
        let span_elapsed =
            now.wall_ms.saturating_sub(page.opened_at_ms) >= self.config.page_span_ms;
        // The last write to the page also seals it, which saves a separate write.
        page.sealed = full || span_elapsed;
        self.next_write_at_ms = now.monotonic_ms + self.config.commit_interval_ms;
        self.start_swap(view, page, batch, now)
    }

    fn start_swap(
        &mut self,
        view: &PageView,
        page: Page,
        batch: Vec<(PendingOperation, Verdict)>,
        now: ClockReading,
    ) -> StoreCall {
        debug_assert_eq!(page.verify(), Ok(()));
        let expected = view.revision.map_or(Expected::Absent, Expected::At);
        let value = encode_page(&page);
        let key = self.path(view.slice);
        let write = Write { slice: view.slice, expected, page, batch };
        self.start(now, Call::Write(write), StoreCall::Swap { key, expected, value, lease: None })
    }
}

/// Returns the verdict on an operation whose record no longer exists.
fn missing_verdict(pending: &PendingOperation) -> Verdict {
    if pending.is_claim() { Verdict::Expired } else { Verdict::Superseded }
}
