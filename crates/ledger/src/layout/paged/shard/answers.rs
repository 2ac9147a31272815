//! Taking the answers of the store.

use crate::Now;
use crate::layout::Done;
use crate::layout::Page;
use crate::layout::StoreAnswer;
use crate::layout::Waiting;
use crate::layout::paged::shard::Call;
use crate::layout::paged::shard::Flight;
use crate::layout::paged::shard::PageView;
use crate::layout::paged::shard::Shard;
use crate::layout::paged::shard::Write;
use crate::layout::waiting::LostWrite;
use crate::record::Verdict;
use crate::wire::decode_page;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

impl Shard {
    /// Takes the answer to the call in flight.
    pub(in crate::layout::paged) fn answer(
        &mut self,
        answer: StoreAnswer,
        now: Now,
        done: &mut Vec<Done>,
    ) {
        let Some(Flight { started, call }) = self.flight.take() else { return };
        match (call, answer) {
            (Call::Load, StoreAnswer::List(Ok(entries))) => self.loaded(&entries, started, now),
            (Call::Read(slice), StoreAnswer::Get(Ok(entry))) => {
                self.was_read(slice, entry.as_ref(), started, now);
            }
            (Call::Write(write), StoreAnswer::Swap(answer)) => {
                self.wrote(write, answer, started, now, done);
            }
            (Call::Retire(slice, page), StoreAnswer::Swap(Ok(Swap::Done(_)))) => {
                self.index.insert(slice, &page);
            }
            (Call::Delete(slice), StoreAnswer::Delete(Ok(true))) => self.index.remove(slice),
            _ => self.pause(now),
        }
    }

    fn pause(&mut self, now: Now) {
        self.retry_at_ms = now.monotonic_ms + self.config.retry_pause_ms;
    }

    /// Takes the whole shard as the store holds it.
    fn loaded(&mut self, entries: &[Entry], started: Now, now: Now) {
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
            self.saw(slice, Some(entry.revision));
            if let Some((old_slice, _, old_page)) = newest.replace((slice, entry.revision, page)) {
                self.index.insert(old_slice, &old_page);
            }
        }
        self.confirmed = Some(started);
        let Some((slice, revision, page)) = newest else {
            self.open = Some(self.absent_page(0, started));
            self.saw(0, None);
            return;
        };
        self.open_slice = slice;
        let read_at_ms = Some(started.monotonic_ms);
        self.take_open(PageView { slice, revision: Some(revision), page, read_at_ms });
    }

    fn absent_page(&self, slice: u64, read: Now) -> PageView {
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
    fn was_read(&mut self, slice: u64, entry: Option<&Entry>, started: Now, now: Now) {
        let revision = entry.map(|entry| entry.revision);
        self.saw(slice, revision);
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
        started: Now,
        now: Now,
        done: &mut Vec<Done>,
    ) {
        let Write { slice, expected, page, batch } = write;
        let in_time = now.since_ms(started) <= self.config.view_ttl_ms;
        match answer {
            Ok(Swap::Done(revision)) if in_time => {
                self.saw(slice, Some(revision));
                let read_at_ms = Some(started.monotonic_ms);
                let view = PageView { slice, revision: Some(revision), page, read_at_ms };
                if slice == self.open_slice {
                    self.confirmed = Some(started);
                    self.take_open(view);
                } else {
                    self.side = Some(view);
                }
                done.extend(batch.into_iter().map(|(waiting, verdict)| waiting.settle(verdict)));
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
                self.requeue(batch, Some(LostWrite { document: slice, expected }));
            }
            Err(error) => {
                let lost = LostWrite { document: slice, expected };
                self.requeue(batch, error.may_have_taken_effect().then_some(lost));
                self.pause(now);
            }
        }
    }

    /// Puts a batch back in front of the queue.
    fn requeue(&mut self, batch: Vec<(Waiting, Verdict)>, lost: Option<LostWrite>) {
        for (mut waiting, _) in batch.into_iter().rev() {
            waiting.lost_write = lost.or(waiting.lost_write);
            self.queue.push_front(waiting);
        }
    }

    /// Settles lost writes of a page that has moved on.
    fn saw(&mut self, slice: u64, revision: Option<Revision>) {
        let found = revision.map_or(Expected::Absent, Expected::At);
        self.queue.iter_mut().for_each(|waiting| waiting.saw(slice, found));
    }
}
