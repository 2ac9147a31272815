//! Splitting a byte stream at event boundaries.
//!
//! Invariant: the output ends at an event boundary, and no byte is changed, lost or duplicated.

use bytes::Bytes;
use bytes::BytesMut;

/// The size limit of one event.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// Buffers the pieces of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { pending: BytesMut::new(), last_id }
    }

    /// Adds a piece and returns the events that it completes, or no bytes if it completes none.
    ///
    /// # Errors
    ///
    /// The reason if an event is too long, or an event id is not text or does not increase.
    pub fn push(&mut self, piece: Bytes) -> Result<Bytes, &'static str> {
        if self.pending.is_empty() && piece.ends_with(b"\n\n") {
            self.check_ids(&piece)?;
            return Ok(piece);
        }
        self.pending.extend_from_slice(&piece);
        let end = last_event_end(&self.pending);
        if end == 0 {
            return match self.pending.len() > EVENT_LIMIT_BYTES {
                true => Err("an event is too long"),
                false => Ok(Bytes::new()),
            };
        }
        let complete = self.pending.split_to(end).freeze();
        self.check_ids(&complete)?;
        Ok(complete)
    }

    /// Takes what is left at the end of the stream: nothing, or events whose lines do not end with
    /// a line feed alone.
    ///
    /// # Errors
    ///
    /// The reason if the stream ends inside an event.
    pub fn finish(&mut self) -> Result<Bytes, &'static str> {
        let rest = self.take_incomplete();
        let is_whole = rest.is_empty() || rest.ends_with(b"\n\r\n") || rest.ends_with(b"\r\r");
        if is_whole { Ok(rest) } else { Err("the stream ended inside an event") }
    }

    /// Takes the buffered bytes of the incomplete last event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn check_ids(&mut self, events: &[u8]) -> Result<(), &'static str> {
        for line in events.split(|byte| *byte == b'\n') {
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

/// Returns the position after the last blank line, or zero if there is none.
fn last_event_end(bytes: &[u8]) -> usize {
    let ends = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    ends.map_or(0, |position| position + 2)
}
