//! What a caller has received of its stream, and the check of each further event.

use snafu::Snafu;

use crate::Chunk;
use crate::SseEvent;
use crate::Usage;

/// What engines put before a request's identifier to name its completion.
const COMPLETION_PREFIX: &str = "chatcmpl-";

const END_MARKER: &str = "[DONE]";

/// What to do with an accepted event.
#[derive(Clone, PartialEq, Debug)]
pub enum Delivery {
    /// Pass the chunk on.
    Chunk(Chunk),
    /// The event was delivered before, or is of no interest to the caller.
    Skip,
    /// The stream is complete.
    End,
}

/// Why an event cannot be accepted. The leg ends.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum StreamError {
    /// Events are missing before this one.
    #[snafu(display("event {found} came where {expected} was due"))]
    Gap {
        /// The number due.
        expected: u64,
        /// The number that came.
        found: u64,
    },
    /// The event belongs to another completion.
    #[snafu(display("event of another completion"))]
    Mismatched,
    /// The event is not a chunk.
    #[snafu(display("event is not a chunk"))]
    Malformed,
    /// The end marker came before a finish reason.
    #[snafu(display("end marker before a finish reason"))]
    EarlyEnd,
    /// The engine reported an error.
    #[snafu(display("engine error: {message}"))]
    Upstream {
        /// What the engine said.
        message: String,
    },
}

/// The state of one caller's stream over all its legs.
#[derive(Clone, Debug)]
pub struct Transcript {
    completion_id: String,
    created_s: Option<u64>,
    wants_usage: bool,
    text: String,
    // Chunks with text, which stand for tokens.
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
    // The identifier that the engine gives each chunk of the leg.
    id: String,
    last_event: u64,
    // Tokens that earlier legs delivered.
    tokens_before: u64,
}

impl Attempt {
    fn new(attempt_id: &str, tokens_before: u64) -> Self {
        Self { id: format!("{COMPLETION_PREFIX}{attempt_id}"), last_event: 0, tokens_before }
    }
}

impl Transcript {
    /// Makes the transcript of a stream whose first leg has the request identifier `leg_id`.
    /// `wants_usage` tells whether the caller asked for token counts.
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

    /// Begins the next leg, on which the engine continues after the text delivered so far.
    pub fn begin_attempt(&mut self, attempt_id: &str) {
        self.attempt = Attempt::new(attempt_id, self.delivered_tokens);
    }

    /// Ends the answer because the caller's limit of tokens is reached, and returns the chunk that
    /// says so.
    pub fn finish_by_length(&mut self) -> Chunk {
        self.finished = true;
        Chunk::finish(&self.completion_id, self.created_s.unwrap_or(0), "length")
    }

    /// Checks an event of the current leg and says what to do with it.
    ///
    /// # Errors
    ///
    /// See [`StreamError`]. The transcript is unchanged and the leg must not be read further.
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

    /// Returns whether the stream is complete.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether the engine said that the answer ended, which is all a caller needs.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether anything that a caller can see was delivered.
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

    /// Returns the number of the last event accepted on the current leg; zero for none.
    pub fn last_event(&self) -> u64 {
        self.attempt.last_event
    }

    /// Returns the text delivered so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns how many tokens were delivered so far.
    pub fn delivered_tokens(&self) -> u64 {
        self.delivered_tokens
    }

    /// Returns the token counts over all legs, once the engine gave them.
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
        // Each leg opens the message again; the caller sees that once.
        let message_opened = std::mem::replace(&mut self.message_opened, true);
        if message_opened && chunk.is_opening() {
            return Delivery::Skip;
        }
        if let Some(text) = chunk.content().filter(|text| !text.is_empty()) {
            self.text.push_str(text);
            self.delivered_tokens += 1;
        }
        if let Some(usage) = self.usage {
            // Engines that count in each chunk know better than the count of chunks.
            self.delivered_tokens = self.delivered_tokens.max(usage.completion_tokens);
        }
        self.finished |= chunk.finish_reason().is_some();
        Delivery::Chunk(chunk)
    }

    /// A later leg counts what earlier legs delivered as part of its prompt.
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
