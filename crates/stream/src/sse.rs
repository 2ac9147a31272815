//! An incremental parser of server-sent events.
//!
//! Only the fields that completions use are kept: `id` and `data`. Lines may end in LF, CR LF or
//! CR, as the specification allows. A CR ends the line immediately, and an LF that follows it is
//! skipped.

use snafu::Snafu;

/// One event.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct SseEvent {
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
    /// The `data` lines, joined by line feeds.
    pub data: String,
}

/// An error of the event parser.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum SseError {
    /// An event is longer than the limit.
    #[snafu(display("event longer than {limit_bytes} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// A line is not UTF-8.
    #[snafu(display("event is not UTF-8"))]
    NotUtf8,
}

/// Parses bytes into events.
#[derive(Clone, Debug)]
pub struct SseParser {
    line: Vec<u8>,
    event: SseEvent,
    has_data: bool,
    skip_line_feed: bool,
    limit_bytes: usize,
}

impl SseParser {
    /// Creates a parser that rejects events longer than `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            line: Vec::new(),
            event: SseEvent::default(),
            has_data: false,
            skip_line_feed: false,
            limit_bytes,
        }
    }

    /// Parses the next bytes of the stream and appends the completed events to `events`.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long or not UTF-8. The parser must not be used
    /// afterwards.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<SseEvent>) -> Result<(), SseError> {
        for &byte in bytes {
            let skip = std::mem::take(&mut self.skip_line_feed);
            match byte {
                b'\n' if skip => {}
                b'\n' => self.end_line(events)?,
                b'\r' => {
                    self.skip_line_feed = true;
                    self.end_line(events)?;
                }
                _ => self.push_byte(byte)?,
            }
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), SseError> {
        if self.line.len() + self.event.data.len() >= self.limit_bytes {
            return Err(SseError::TooLong { limit_bytes: self.limit_bytes });
        }
        self.line.push(byte);
        Ok(())
    }

    fn end_line(&mut self, events: &mut Vec<SseEvent>) -> Result<(), SseError> {
        if self.line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                events.push(event);
            }
            return Ok(());
        }
        let line = std::str::from_utf8(&self.line).map_err(|_| SseError::NotUtf8)?;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            "id" => self.event.id = value.parse().ok(),
            // Comments and other fields are not used by completions.
            _ => {}
        }
        self.line.clear();
        Ok(())
    }
}
