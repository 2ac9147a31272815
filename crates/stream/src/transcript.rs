//! The delivered part of a caller's stream, and the validation of each further event.

use snafu::Snafu;

use crate::Chunk;
use crate::SseEvent;
use crate::Usage;

/// The prefix that engines put before the request identifier to form the completion identifier.
const COMPLETION_PREFIX: &str = "chatcmpl-";

const END_MARKER: &str = "[DONE]";

/// The handling of an accepted event.
#[derive(Clone, PartialEq, Debug)]
pub enum Delivery {
    /// Deliver the chunk to the caller.
    Chunk(Chunk),
    /// Deliver nothing: the event is a duplicate, or the caller does not need it.
    Skip,
    /// The stream is complete.
    End,
}

/// The reason why an event is rejected. The attempt ends.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum StreamError {
    /// Events are missing before this one.
    #[snafu(display("expected event {expected}, received event {found}"))]
    Gap {
        /// The expected event number.
        expected: u64,
        /// The received event number.
        found: u64,
    },
    /// The event belongs to another completion.
    #[snafu(display("event belongs to another completion"))]
    Mismatched,
    /// The event is not a chunk.
    #[snafu(display("event is not a chunk"))]
    Malformed,
    /// The end marker arrived before a finish reason.
    #[snafu(display("end marker before a finish reason"))]
    EarlyEnd,
    /// The engine reported an error.
    #[snafu(display("engine error: {message}"))]
    Upstream {
        /// The engine's error message.
        message: String,
    },
}

/// The state of one caller's stream over all its attempts.
#[derive(Clone, Debug)]
pub struct Transcript {
    completion_id: String,
    created_s: Option<u64>,
    wants_usage: bool,
    text: String,
    // Counts each chunk with text as one token, unless the engine reports token counts.
    delivered_tokens: u64,
    message_opened: bool,
    plain_text: bool,
    finished: bool,
    complete: bool,
    usage: Option<Usage>,
    attempt: Attempt,
}

#[derive(Clone, Debug)]
struct Attempt {
    // The completion identifier that the engine sets on each chunk of the attempt.
    id: String,
    last_event: u64,
    // The number of tokens that earlier attempts delivered.
    tokens_before: u64,
}

impl Attempt {
    fn new(attempt_id: &str, tokens_before: u64) -> Self {
        Self { id: format!("{COMPLETION_PREFIX}{attempt_id}"), last_event: 0, tokens_before }
    }
}

impl Transcript {
    /// Creates the transcript of a stream whose first attempt has the request identifier
    /// `attempt_id`. `wants_usage` is whether the caller requested token counts.
    pub fn new(completion_id: &str, attempt_id: &str, wants_usage: bool) -> Self {
        Self {
            completion_id: completion_id.to_owned(),
            created_s: None,
            wants_usage,
            text: String::new(),
            delivered_tokens: 0,
            message_opened: false,
            plain_text: true,
            finished: false,
            complete: false,
            usage: None,
            attempt: Attempt::new(attempt_id, 0),
        }
    }

    /// Starts the next attempt, in which the engine continues after the text delivered so far.
    pub fn begin_attempt(&mut self, attempt_id: &str) {
        self.attempt = Attempt::new(attempt_id, self.delivered_tokens);
    }

    /// Ends the completion because the caller's token limit is reached, and returns the final chunk
    /// with the finish reason `length`.
    pub fn finish_by_length(&mut self) -> Chunk {
        self.finished = true;
        Chunk::finish(&self.completion_id, self.created_s.unwrap_or(0), "length")
    }

    /// Validates an event of the current attempt and returns how to handle it.
    ///
    /// # Errors
    ///
    /// See [`StreamError`]. The transcript is unchanged, and the attempt must not be read further.
    pub fn accept(&mut self, event: &SseEvent) -> Result<Delivery, StreamError> {
        let number = event.id.unwrap_or(self.attempt.last_event + 1);
        if number <= self.attempt.last_event {
            return Ok(Delivery::Skip);
        }
        if number != self.attempt.last_event + 1 {
            return Err(StreamError::Gap { expected: self.attempt.last_event + 1, found: number });
        }
        if event.data == END_MARKER {
            return self.accept_end();
        }
        let chunk = Chunk::parse(&event.data).ok_or(StreamError::Malformed)?;
        if let Some(error) = chunk.error() {
            let message = error.get("message").and_then(|m| m.as_str()).unwrap_or("unspecified");
            return Err(StreamError::Upstream { message: message.to_owned() });
        }
        self.check_attempt(&chunk)?;
        self.attempt.last_event = number;
        Ok(self.deliver(chunk))
    }

    /// Returns whether the end marker was received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether a finish reason was received. The caller has the whole completion then.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether any output visible to the caller was delivered.
    pub fn has_output(&self) -> bool {
        self.has_text() || self.finished || !self.plain_text
    }

    /// Returns whether any text was delivered.
    pub fn has_text(&self) -> bool {
        !self.text.is_empty()
    }

    /// Returns whether another engine can continue the stream from its text.
    pub fn is_continuable(&self) -> bool {
        self.plain_text && !self.finished
    }

    /// Returns the number of the last accepted event of the current attempt; zero if none.
    pub fn last_event(&self) -> u64 {
        self.attempt.last_event
    }

    /// Returns the text delivered so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the number of tokens delivered so far.
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered_tokens
    }

    /// Returns the token counts over all attempts, once the engine has reported them.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    fn accept_end(&mut self) -> Result<Delivery, StreamError> {
        if !self.finished {
            return Err(StreamError::EarlyEnd);
        }
        self.complete = true;
        Ok(Delivery::End)
    }

    fn check_attempt(&self, chunk: &Chunk) -> Result<(), StreamError> {
        let id = chunk.id().ok_or(StreamError::Malformed)?;
        if id == self.attempt.id { Ok(()) } else { Err(StreamError::Mismatched) }
    }

    fn deliver(&mut self, mut chunk: Chunk) -> Delivery {
        self.plain_text &= chunk.is_plain_text();
        chunk.set_id(&self.completion_id);
        let created_s = *self.created_s.get_or_insert(chunk.created_s().unwrap_or(0));
        chunk.set_created_s(created_s);
        if let Some(usage) = chunk.usage() {
            let usage = self.usage_over_attempts(&usage);
            self.usage = Some(usage);
            chunk.set_usage(&usage);
        }
        if !self.wants_usage {
            chunk.remove_usage();
        }
        if chunk.choices().is_empty() {
            return if self.wants_usage { Delivery::Chunk(chunk) } else { Delivery::Skip };
        }
        // Each attempt opens the message again; only the first opening is delivered.
        let message_opened = std::mem::replace(&mut self.message_opened, true);
        if message_opened && chunk.is_opening() {
            return Delivery::Skip;
        }
        if let Some(text) = chunk.content().filter(|text| !text.is_empty()) {
            self.text.push_str(text);
            self.delivered_tokens += 1;
        }
        if let Some(usage) = self.usage {
            // A token count in the chunk is more accurate than the number of chunks.
            self.delivered_tokens = self.delivered_tokens.max(usage.completion_tokens);
        }
        self.finished |= chunk.finish_reason().is_some();
        Delivery::Chunk(chunk)
    }

    /// Converts the counts of the current attempt to those of the stream. A later attempt counts
    /// the tokens that earlier attempts delivered as part of its prompt.
    fn usage_over_attempts(&self, usage: &Usage) -> Usage {
        let before = self.attempt.tokens_before;
        Usage {
            prompt_tokens: usage.prompt_tokens.saturating_sub(before),
            completion_tokens: usage.completion_tokens + before,
            total_tokens: usage.total_tokens,
            prompt_tokens_details: usage.prompt_tokens_details,
        }
    }
}
