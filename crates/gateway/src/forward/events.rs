//! Splitting a byte stream at event boundaries.
//!
//! Invariants:
//! - The output ends at an event boundary, and no byte is changed, lost or duplicated.
//! - Only events are passed on: text without any field of an event is an error of the upstream.
//! - A stream is complete only if its transport marked the end, or, where only its connection
//!   ended, if it had an event and did not end inside one: an upstream that crashes closes its
//!   connections too.

use bytes::Bytes;
use memchr::memmem;

use redwingrill_transport::BudgetedBuffer;
use redwingrill_transport::ByteBudget;
use redwingrill_transport::Framing;

/// The size limit of one event.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// Buffers the pieces of a stream and returns complete events.
#[derive(Debug)]
pub struct EventSplitter {
    pending: BudgetedBuffer,
    last_id: Option<u64>,
    has_data: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`. What it buffers
    /// draws on `budget`.
    pub fn after(last_id: Option<u64>, budget: &ByteBudget) -> Self {
        Self { pending: BudgetedBuffer::new(budget), last_id, has_data: false }
    }

    /// Adds a piece and returns the events that it completes, or no bytes if it completes none.
    ///
    /// # Errors
    ///
    /// The reason if an event is too long or does not fit into the budget, if what stands between two
    /// blank lines is no event, or if an event id is not text or does not increase.
    pub fn push(&mut self, piece: Bytes) -> Result<Bytes, &'static str> {
        if self.pending.is_empty() && last_event_end(&piece) == piece.len() {
            self.check_lines(&piece)?;
            return Ok(piece);
        }
        // What was pending has no event end, but the first bytes of one may be its last.
        let searched = self.pending.len().saturating_sub(LONGEST_EVENT_END - 1);
        self.pending.extend(&piece).map_err(|_| "an event does not fit into the buffers")?;
        let end = match last_event_end(&self.pending.as_slice()[searched..]) {
            0 => 0,
            end => searched + end,
        };
        if end == 0 {
            return match self.pending.len() > EVENT_LIMIT_BYTES {
                true => Err("an event is too long"),
                false => Ok(Bytes::new()),
            };
        }
        let complete = self.pending.split_to(end);
        self.check_lines(&complete)?;
        Ok(complete)
    }

    /// Takes what is left at the end of the stream: nothing, or events whose lines end with CR alone.
    ///
    /// # Errors
    ///
    /// The reason if the stream ends inside an event, or if only its connection ended and there
    /// was no event.
    pub fn finish(&mut self, framing: Framing) -> Result<Bytes, &'static str> {
        let rest = self.take_incomplete();
        let is_whole = rest.is_empty() || rest.ends_with(b"\r\r");
        if !is_whole {
            return Err("the stream ended inside an event");
        }
        self.check_lines(&rest)?;
        match self.has_data || framing.marks_end() {
            true => Ok(rest),
            false => Err("the connection ended before any event"),
        }
    }

    /// Takes the buffered bytes of the incomplete last event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.pending.split_to(self.pending.len())
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn check_lines(&mut self, events: &[u8]) -> Result<(), &'static str> {
        let (mut has_text, mut has_field) = (false, false);
        for line in Lines(events) {
            if line.is_empty() {
                if has_text && !has_field {
                    return Err("text that is no event");
                }
                (has_text, has_field) = (false, false);
                continue;
            }
            has_text = true;
            has_field |= FIELDS.iter().any(|field| line.starts_with(field));
            self.has_data |= line.starts_with(b"data");
            let Some(text) = line.strip_prefix(b"id:") else { continue };
            let text = std::str::from_utf8(text).map_err(|_| "an event's id is no text")?;
            // A non-numeric id can't be compared, so it is ignored and the stream is not resumed.
            let Ok(id) = text.trim().parse::<u64>() else { continue };
            if self.last_id.is_some_and(|last| id <= last) {
                return Err("an event's id does not increase");
            }
            self.last_id = Some(id);
        }
        Ok(())
    }
}

/// What the lines of events begin with, comments too. A line that begins otherwise is ignored by
/// callers.
const FIELDS: [&[u8]; 5] = [b"data", b"id", b"event", b"retry", b":"];

/// The lines of some events, which end with LF, CRLF or CR alone.
struct Lines<'a>(&'a [u8]);

impl<'a> Iterator for Lines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        if self.0.is_empty() {
            return None;
        }
        let end = self.0.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let end = end.unwrap_or(self.0.len());
        let (line, rest) = self.0.split_at(end);
        let terminator = if rest.starts_with(b"\r\n") { 2 } else { 1 };
        self.0 = rest.get(terminator..).unwrap_or_default();
        Some(line)
    }
}

/// The ends of an event whose lines end with LF or with CRLF. An event whose lines end with CR alone
/// shows its end only at the next line, so it is held until the stream ends.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];
const LONGEST_EVENT_END: usize = 3;

/// Returns the position after the last blank line, or zero if there is none.
fn last_event_end(bytes: &[u8]) -> usize {
    let last = |end: &[u8]| memmem::rfind(bytes, end).map_or(0, |position| position + end.len());
    EVENT_ENDS.into_iter().map(last).max().unwrap_or(0)
}
