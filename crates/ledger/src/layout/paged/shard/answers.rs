//! Taking the answers of the store.

use crate::ClockReading;
use crate::layout::Completion;
use crate::layout::Page;
use crate::layout::PendingOperation;
use crate::layout::StoreResponse;
use crate::layout::paged::shard::Call;
use crate::layout::paged::shard::Flight;
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
    /// Takes the answer to the call in flight.
    pub(in crate::layout::paged) fn handle_response(
        &mut self,
        answer: StoreResponse,
        now: ClockReading,
        done: &mut Vec<Completion>,
    ) {
        let Some(Flight { started, call }) = self.flight.take() else { return };
        match (call, answer) {
            (Call::Load, StoreResponse::List(Ok(entries))) => self.loaded(&entries, started, now),
            (Call::Read(slice), StoreResponse::Get(Ok(entry))) => {
                self.was_read(slice, entry.as_ref(), started, now);
            }
            (Call::Write(write), StoreResponse::Swap(answer)) => {
                self.wrote(write, answer, started, now, done);
            }
            (Call::Retire(slice, page), StoreResponse::Swap(Ok(Swap::Done(_)))) => {
                self.index.insert(slice, &page);
            }
            (Call::Delete(slice), StoreResponse::Delete(Ok(true))) => self.index.remove(slice),
            _ => self.pause(now),
        }
    }

    fn pause(&mut self, now: ClockReading) {
        self.retry_at_ms = now.monotonic_ms + self.config.retry_backoff_ms;
    }

    /// Takes the whole shard as the store holds it.
    fn loaded(&mut self, entries: &[Entry], started: ClockReading, now: ClockReading) {
        self.index.clear();
        self.open = None;
        self.side = None;
        self.open_slice = 0;
        let mut newest = None;
        for entry in entries {
            let slice = entry.key.strip_prefix(&self.prefix).and_then(|slice| slice.parse().ok());
            let (Some(slice), Ok(page)) = (slice, decode_page(&entry.value)) else {
                // A page that cannot be read may hold any key: the shard takes no orders.
                self.confirmed = None;
                return self.pause(now);
            };
            self.observe(slice, Some(entry.revision));
            if let Some((old_slice, _, old_page)) = newest.replace((slice, entry.revision, page)) {
                self.index.insert(old_slice, &old_page);
            }
        }
        self.confirmed = Some(started);
        let Some((slice, revision, page)) = newest else {
            self.open = Some(self.absent_page(0, started));
            self.observe(0, None);
            return;
        };
        self.open_slice = slice;
        let read_at_ms = Some(started.monotonic_ms);
        self.take_open(PageView { slice, revision: Some(revision), page, read_at_ms });
    }

    fn absent_page(&self, slice: u64, read: ClockReading) -> PageView {
        let page = Page::open(read.wall_ms);
        PageView { slice, revision: None, page, read_at_ms: Some(read.monotonic_ms) }
    }

    /// Takes the newest page; if it is sealed, the next one is assumed to be absent.
    fn take_open(&mut self, view: PageView) {
        if !view.page.sealed {
            self.open = Some(view);
            return;
        }
        self.index.insert(view.slice, &view.page);
        self.open_slice = view.slice + 1;
        let page = Page::default();
        let slice = self.open_slice;
        self.open = Some(PageView { slice, revision: None, page, read_at_ms: None });
        self.side = Some(view);
    }

    /// Takes one page as the store holds it.
    fn was_read(
        &mut self,
        slice: u64,
        entry: Option<&Entry>,
        started: ClockReading,
        now: ClockReading,
    ) {
        let revision = entry.map(|entry| entry.revision);
        self.observe(slice, revision);
        let page = entry.map(|entry| decode_page(&entry.value)).transpose();
        let Ok(page) = page else { return self.pause(now) };
        let Some(page) = page else {
            if slice != self.open_slice || self.open.as_ref().is_some_and(|v| v.revision.is_some())
            {
                // A page that was there is gone: what is known here is out of date.
                self.confirmed = None;
                return;
            }
            self.open = Some(self.absent_page(slice, started));
            return;
        };
        let read_at_ms = Some(started.monotonic_ms);
        let view = PageView { slice, revision, page, read_at_ms };
        if slice == self.open_slice {
            self.confirmed = Some(started);
            self.take_open(view);
        } else {
            self.index.insert(slice, &view.page);
            self.side = Some(view);
        }
    }

    fn wrote(
        &mut self,
        write: Write,
        answer: Result<Swap, StoreError>,
        started: ClockReading,
        now: ClockReading,
        done: &mut Vec<Completion>,
    ) {
        let Write { slice, expected, page, batch } = write;
        let in_time = now.since_ms(started) <= self.config.view_ttl_ms;
        match answer {
            Ok(Swap::Done(revision)) if in_time => {
                self.observe(slice, Some(revision));
                let read_at_ms = Some(started.monotonic_ms);
                let view = PageView { slice, revision: Some(revision), page, read_at_ms };
                if slice == self.open_slice {
                    self.confirmed = Some(started);
                    self.take_open(view);
                } else {
                    self.side = Some(view);
                }
                done.extend(batch.into_iter().map(|(pending, verdict)| pending.settle(verdict)));
            }
            Ok(Swap::Conflict(entry)) => {
                self.requeue(batch, None);
                if entry.is_none() {
                    // The page was there and is gone: what is known here is out of date.
                    self.confirmed = None;
                }
                self.was_read(slice, entry.as_ref(), started, now);
            }
            Ok(Swap::Done(_)) => {
                // The node was paused meanwhile; see the module's rule on clocks.
                self.confirmed = None;
                self.requeue(batch, Some(UnconfirmedWrite { document: slice, expected }));
            }
            Err(error) => {
                let lost = UnconfirmedWrite { document: slice, expected };
                self.requeue(batch, error.may_have_taken_effect().then_some(lost));
                self.pause(now);
            }
        }
    }

    /// Puts a batch back in front of the queue.
    fn requeue(&mut self, batch: Vec<(PendingOperation, Verdict)>, lost: Option<UnconfirmedWrite>) {
        for (mut pending, _) in batch.into_iter().rev() {
            pending.unconfirmed_write = lost.or(pending.unconfirmed_write);
            self.queue.push_front(pending);
        }
    }

    /// Settles lost writes of a page that has moved on.
    fn observe(&mut self, slice: u64, revision: Option<Revision>) {
        let found = revision.map_or(Expected::Absent, Expected::At);
        self.queue.iter_mut().for_each(|pending| pending.observe(slice, found));
    }
}
