//! Handles the responses of the store.

use crate::ClockReading;
use crate::layout::Completion;
use crate::layout::Page;
use crate::layout::PendingOperation;
use crate::layout::StoreResponse;
use crate::layout::paged::shard::Call;
use crate::layout::paged::shard::InFlightCall;
use crate::layout::paged::shard::PageView;
use crate::layout::paged::shard::Shard;
use crate::layout::paged::shard::Write;
use crate::layout::pending::UnconfirmedWrite;
use crate::record::Verdict;
use crate::wire::decode_page;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

impl Shard {
    /// Handles the response to the call in flight.
    pub(in crate::layout::paged) fn handle_response(
        &mut self,
        response: StoreResponse,
        now: ClockReading,
        completions: &mut Vec<Completion>,
    ) {
        let Some(InFlightCall { started, call }) = self.in_flight.take() else { return };
        match (call, response) {
            (Call::Load, StoreResponse::List(Ok(entries))) => {
                self.on_loaded(&entries, started, now)
            }
            (Call::Read(slice), StoreResponse::Get(Ok(entry))) => {
                self.on_read(slice, entry.as_ref(), started, now);
            }
            (Call::Write(write), StoreResponse::Swap(response)) => {
                self.on_written(write, response, started, now, completions);
            }
            (Call::Retire(slice, page), StoreResponse::Swap(Ok(Swap::Done(_)))) => {
                self.index.insert(slice, &page);
            }
            (Call::Delete(slice), StoreResponse::Delete(Ok(true))) => self.index.remove(slice),
            _ => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: ClockReading) {
        self.retry_at_ms = now.monotonic_ms + self.config.retry_backoff_ms;
    }

    /// Replaces the cached view by the shard's entries in the store.
    fn on_loaded(&mut self, entries: &[Entry], started: ClockReading, now: ClockReading) {
        self.index.clear();
        self.open = None;
        self.last_sealed = None;
        self.open_slice = 0;
        let mut newest = None;
        for entry in entries {
            let slice = entry.key.strip_prefix(&self.prefix).and_then(|slice| slice.parse().ok());
            let (Some(slice), Ok(page)) = (slice, decode_page(&entry.value)) else {
                // A page that cannot be decoded may contain any key: the shard accepts no orders.
                self.confirmed_at = None;
                return self.back_off(now);
            };
            self.observe(slice, Some(entry.revision));
            if let Some((old_slice, _, old_page)) = newest.replace((slice, entry.revision, page)) {
                self.index.insert(old_slice, &old_page);
            }
        }
        self.confirmed_at = Some(started);
        let Some((slice, revision, page)) = newest else {
            self.open = Some(self.absent_page(0, started));
            self.observe(0, None);
            return;
        };
        self.open_slice = slice;
        let read_at_ms = Some(started.monotonic_ms);
        self.set_newest(PageView { slice, revision: Some(revision), page, read_at_ms });
    }

    fn absent_page(&self, slice: u64, read: ClockReading) -> PageView {
        let page = Page::open(read.wall_ms);
        PageView { slice, revision: None, page, read_at_ms: Some(read.monotonic_ms) }
    }

    /// Sets the newest page; if it is sealed, the next one is assumed to be absent.
    fn set_newest(&mut self, view: PageView) {
        if !view.page.sealed {
            self.open = Some(view);
            return;
        }
        self.index.insert(view.slice, &view.page);
        self.open_slice = view.slice + 1;
        let page = Page::default();
        let slice = self.open_slice;
        self.open = Some(PageView { slice, revision: None, page, read_at_ms: None });
        self.last_sealed = Some(view);
    }

    /// Updates one page to the entry in the store.
    fn on_read(
        &mut self,
        slice: u64,
        entry: Option<&Entry>,
        started: ClockReading,
        now: ClockReading,
    ) {
        let revision = entry.map(|entry| entry.revision);
        self.observe(slice, revision);
        let page = entry.map(|entry| decode_page(&entry.value)).transpose();
        let Ok(page) = page else { return self.back_off(now) };
        let Some(page) = page else {
            if slice != self.open_slice
                || self.open.as_ref().is_some_and(|view| view.revision.is_some())
            {
                // A known page was deleted, so the cached view is stale.
                self.confirmed_at = None;
                return;
            }
            self.open = Some(self.absent_page(slice, started));
            return;
        };
        let read_at_ms = Some(started.monotonic_ms);
        let view = PageView { slice, revision, page, read_at_ms };
        if slice == self.open_slice {
            self.confirmed_at = Some(started);
            self.set_newest(view);
        } else {
            self.index.insert(slice, &view.page);
            self.last_sealed = Some(view);
        }
    }

    fn on_written(
        &mut self,
        write: Write,
        response: Result<Swap, StoreError>,
        started: ClockReading,
        now: ClockReading,
        completions: &mut Vec<Completion>,
    ) {
        let Write { slice, expected, page, batch } = write;
        let in_time = now.since_ms(started) <= self.config.view_ttl_ms;
        match response {
            Ok(Swap::Done(revision)) if in_time => {
                self.observe(slice, Some(revision));
                let read_at_ms = Some(started.monotonic_ms);
                let view = PageView { slice, revision: Some(revision), page, read_at_ms };
                if slice == self.open_slice {
                    self.confirmed_at = Some(started);
                    self.set_newest(view);
                } else {
                    self.last_sealed = Some(view);
                }
                completions
                    .extend(batch.into_iter().map(|(pending, verdict)| pending.complete(verdict)));
            }
            Ok(Swap::Conflict(entry)) => {
                self.requeue(batch, None);
                if entry.is_none() {
                    // A known page was deleted, so the cached view is stale.
                    self.confirmed_at = None;
                }
                self.on_read(slice, entry.as_ref(), started, now);
            }
            Ok(Swap::Done(_)) => {
                // The swap took longer than the view TTL; see the rule on clocks in `paged`.
                self.confirmed_at = None;
                self.requeue(batch, Some(UnconfirmedWrite { document: slice, expected }));
            }
            Err(error) => {
                let unconfirmed = UnconfirmedWrite { document: slice, expected };
                self.requeue(batch, error.may_have_taken_effect().then_some(unconfirmed));
                self.back_off(now);
            }
        }
    }

    /// Puts a batch back at the front of the queue, keeping its order.
    fn requeue(
        &mut self,
        batch: Vec<(PendingOperation, Verdict)>,
        unconfirmed: Option<UnconfirmedWrite>,
    ) {
        for (mut pending, _) in batch.into_iter().rev() {
            pending.unconfirmed_write = unconfirmed.or(pending.unconfirmed_write);
            self.queue.push_front(pending);
        }
    }

    /// Clears unconfirmed writes that can no longer be applied to a page.
    fn observe(&mut self, slice: u64, revision: Option<Revision>) {
        let found = revision.map_or(Expected::Absent, Expected::At);
        self.queue.iter_mut().for_each(|pending| pending.observe(slice, found));
    }
}
