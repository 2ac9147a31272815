//! The events of one answer.
//!
//! Tokens are a function of the request, so a log keeps only how many there are; any event can be
//! written again when a connection resumes. Events are numbered from 1: one for each token, then
//! the finish reason, the usage, and the end marker.

use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answer::Owner;
use crate::engine::JobId;

const TAIL_EVENTS: u32 = 3;

/// What an answer's events are written from.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamHead {
    /// The identifier of the request.
    pub request_id: String,
    /// The model.
    pub model: String,
    /// The weights version.
    pub weights_version: String,
    /// The hash in each token.
    pub owner: Owner,
    /// The place of the first token in the whole answer.
    pub first_token: u32,
    /// The tokens to generate.
    pub generate_tokens: u32,
    /// Whether the request's limit ends the answer.
    pub is_limited: bool,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
}

/// How far an answer has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Progress {
    /// The tokens generated.
    pub generated_tokens: u32,
    /// The prompt tokens that came from the cache.
    pub cached_tokens: u32,
    /// Whether the answer was cancelled or lost.
    pub is_gone: bool,
}

/// The log of one answer.
#[derive(Debug)]
pub struct StreamLog {
    /// The job that generates it.
    pub job: JobId,
    /// What its events are written from.
    pub head: StreamHead,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

#[derive(Debug)]
struct Readers {
    attached: usize,
    unread_since: Instant,
}

impl StreamLog {
    /// Makes the log of an answer that has no token yet.
    pub fn new(job: JobId, head: StreamHead) -> Self {
        let readers = Readers { attached: 0, unread_since: Instant::now() };
        let progress = watch::channel(Progress::default()).0;
        Self { job, head, progress, readers: Mutex::new(readers) }
    }

    /// Returns how far the answer has come, and follows it.
    pub fn follow(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Notes generated tokens.
    pub fn advance(&self, generated_tokens: u32, cached_tokens: u32) {
        self.progress.send_modify(|progress| {
            progress.generated_tokens = generated_tokens;
            progress.cached_tokens = cached_tokens;
        });
    }

    /// Notes that no further token will come.
    pub fn set_gone(&self) {
        self.progress.send_modify(|progress| progress.is_gone = true);
    }

    /// Returns whether all tokens were generated.
    pub fn is_finished(&self) -> bool {
        self.progress.borrow().generated_tokens >= self.head.generate_tokens
    }

    /// Notes a connection that reads the log.
    pub fn attach(&self) {
        self.readers.lock().expect("no holder panics").attached += 1;
    }

    /// Notes that a connection no longer reads the log.
    pub fn detach(&self) {
        let mut readers = self.readers.lock().expect("no holder panics");
        readers.attached -= 1;
        readers.unread_since = Instant::now();
    }

    /// Returns since when no connection reads the log.
    pub fn unread_since(&self) -> Option<Instant> {
        let readers = self.readers.lock().expect("no holder panics");
        (readers.attached == 0).then_some(readers.unread_since)
    }

    /// Returns the number of the last event.
    pub fn last_event(&self) -> u32 {
        self.head.generate_tokens + TAIL_EVENTS
    }

    /// Returns whether an event can be written.
    pub fn is_ready(&self, event: u32, progress: &Progress) -> bool {
        event.min(self.head.generate_tokens) <= progress.generated_tokens
    }

    /// Returns the data of an event; `shown_id` is the request it claims to belong to.
    pub fn event_data(&self, event: u32, shown_id: &str) -> String {
        let tokens = self.head.generate_tokens;
        if event <= tokens {
            return self.token_chunk(event, shown_id).to_string();
        }
        match event - tokens {
            1 => self.finish_chunk(shown_id).to_string(),
            2 => self.usage_chunk(shown_id).to_string(),
            _ => "[DONE]".to_owned(),
        }
    }

    /// Returns the whole answer as one JSON object.
    pub fn whole(&self) -> Value {
        let head = &self.head;
        let indexes = head.first_token..head.first_token + head.generate_tokens;
        let content: String = indexes.map(|index| head.owner.token(index)).collect();
        let message = json!({"role": "assistant", "content": content});
        let choice = json!({"index": 0, "message": message, "finish_reason": self.finish_reason()});
        let mut body = self.chunk(&head.request_id, json!([choice]));
        body["object"] = json!("chat.completion");
        body["usage"] = self.usage();
        body
    }

    fn token_chunk(&self, event: u32, shown_id: &str) -> Value {
        let owner = if shown_id == self.head.request_id {
            self.head.owner
        } else {
            // A crossed reply carries the tokens of the request that it belongs to.
            Owner::of("", shown_id)
        };
        let content = owner.token(self.head.first_token + event - 1);
        let delta = match event {
            1 => json!({"role": "assistant", "content": content}),
            _ => json!({"content": content}),
        };
        self.chunk(shown_id, json!([{"index": 0, "delta": delta, "finish_reason": null}]))
    }

    fn finish_chunk(&self, shown_id: &str) -> Value {
        let choice = json!({"index": 0, "delta": {}, "finish_reason": self.finish_reason()});
        self.chunk(shown_id, json!([choice]))
    }

    fn usage_chunk(&self, shown_id: &str) -> Value {
        let mut chunk = self.chunk(shown_id, json!([]));
        chunk["usage"] = self.usage();
        chunk
    }

    fn chunk(&self, shown_id: &str, choices: Value) -> Value {
        json!({
            "id": format!("chatcmpl-{shown_id}"),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.head.model,
            "system_fingerprint": self.head.weights_version,
            "choices": choices,
        })
    }

    fn finish_reason(&self) -> &'static str {
        if self.head.is_limited { "length" } else { "stop" }
    }

    fn usage(&self) -> Value {
        let head = &self.head;
        let cached = self.progress.borrow().cached_tokens;
        json!({
            "prompt_tokens": head.prompt_tokens,
            "completion_tokens": head.generate_tokens,
            "total_tokens": head.prompt_tokens + head.generate_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        })
    }
}
