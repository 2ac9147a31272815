//! One streamed completion from request to end marker.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use serde_json::json;
use tokio::time::Instant;

use super::outcome::Ending;
use super::outcome::ErrorText;
use super::outcome::Outcome;
use crate::answer::Owner;
use crate::engine::Message;
use crate::engine::render;
use redwingrill_stream::Chunk;
use redwingrill_stream::SseEvent;
use redwingrill_stream::SseParser;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;

const EVENT_LIMIT_BYTES: usize = 1 << 20;
const REPLY_LIMIT_BYTES: usize = 1 << 20;
const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_secs(2), head: Duration::from_secs(60) };
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// What to ask.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Call {
    /// The API key; empty for none.
    pub api_key: String,
    /// The priority; empty for the account's first.
    pub priority: String,
    /// The identifier, which engines need and routers choose themselves; empty for none.
    pub request_id: String,
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// The tokens to generate.
    pub max_tokens: u32,
}

impl Call {
    /// Makes a call with one question and nothing else.
    pub fn new(model: &str, question: &str, max_tokens: u32) -> Self {
        Self {
            api_key: String::new(),
            priority: String::new(),
            request_id: String::new(),
            model: model.to_owned(),
            messages: vec![Message::new("user", question)],
            max_tokens,
        }
    }

    /// Returns the hash that each token of the answer carries.
    pub fn owner(&self) -> Owner {
        Owner::of(&self.model, &render(&self.messages))
    }

    fn request(&self) -> Request<Bytes> {
        let body = json!({
            "model": self.model,
            "messages": self.messages,
            "max_tokens": self.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
        });
        let mut request = Request::post("/v1/chat/completions")
            .header("host", "redwingrill")
            .header("content-type", "application/json");
        let authorization = format!("Bearer {}", self.api_key);
        let headers = [
            ("authorization", authorization.as_str(), self.api_key.as_str()),
            ("x-redwingrill-priority", &self.priority, &self.priority),
            ("x-request-id", &self.request_id, &self.request_id),
        ];
        for (name, value, wanted) in headers {
            if !wanted.is_empty() {
                request = request.header(name, value);
            }
        }
        request.body(Bytes::from(body.to_string())).expect("header values are plain text")
    }
}

/// A caller with connections of its own. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    pool: Pool,
}

/// What was read of an answer so far.
struct Reading<'a> {
    started: Instant,
    last_token_at: Instant,
    text: String,
    is_ended: bool,
    error: Option<Ending>,
    outcome: &'a mut Outcome,
}

impl Caller {
    /// Makes a caller without a connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a streamed call and reads its answer to the end.
    pub async fn complete(&self, address: SocketAddr, call: &Call) -> Outcome {
        let mut outcome = Outcome::unfinished();
        self.complete_into(address, call, &mut outcome).await;
        outcome
    }

    /// Like [`Caller::complete`]; `outcome` tells how far the call came if the wait is dropped.
    pub async fn complete_into(&self, address: SocketAddr, call: &Call, outcome: &mut Outcome) {
        let mut reading = Reading::new(outcome);
        let sent = self.pool.send(address, call.request(), Freshness::Any, &TIMEOUTS).await;
        let ending = match sent {
            Ok(reply) if reply.status().is_success() => reading.read(reply.into_body(), call).await,
            Ok(reply) => refused(reply).await,
            Err(error) => Ending::Wrong { reason: error.to_string() },
        };
        reading.outcome.total_us = elapsed_us(reading.started);
        reading.outcome.ending = ending;
    }

    /// Closes all connections and joins their tasks.
    pub async fn close(&self) {
        self.pool.close().await;
    }
}

impl<'a> Reading<'a> {
    fn new(outcome: &'a mut Outcome) -> Self {
        let now = Instant::now();
        let text = String::new();
        Self { started: now, last_token_at: now, text, is_ended: false, error: None, outcome }
    }

    async fn read(&mut self, mut body: ResponseBody, call: &Call) -> Ending {
        let mut parser = SseParser::new(EVENT_LIMIT_BYTES);
        let mut events = Vec::new();
        loop {
            let piece = match body.next(EVENT_TIMEOUT).await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(error) => return Ending::Wrong { reason: error.to_string() },
            };
            if let Err(error) = parser.push(&piece, &mut events) {
                return Ending::Wrong { reason: error.to_string() };
            }
            for event in events.drain(..) {
                self.take(&event);
            }
        }
        self.ending(call)
    }

    fn take(&mut self, event: &SseEvent) {
        if event.data == "[DONE]" {
            self.is_ended = true;
            return;
        }
        if let Ok(error) = serde_json::from_str::<ErrorText>(&event.data) {
            self.error = Some(error.ending(200));
            return;
        }
        let Some(chunk) = Chunk::parse(&event.data) else { return };
        if let Some(usage) = chunk.usage() {
            self.outcome.prompt_tokens = usage.prompt_tokens;
            self.outcome.cached_tokens = usage.cached_tokens().unwrap_or(0);
        }
        if let Some(content) = chunk.content().filter(|content| !content.is_empty()) {
            self.take_token(content);
        }
    }

    fn take_token(&mut self, content: &str) {
        let now = Instant::now();
        if self.outcome.first_token_us.is_none() {
            self.outcome.first_token_us = Some(elapsed_us(self.started));
        } else {
            let gap = now - self.last_token_at;
            let gap_us = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
            self.outcome.longest_gap_us = self.outcome.longest_gap_us.max(gap_us);
        }
        self.last_token_at = now;
        self.outcome.tokens += 1;
        self.text.push_str(content);
    }

    fn ending(&mut self, call: &Call) -> Ending {
        if let Some(error) = self.error.take() {
            return error;
        }
        if !self.is_ended {
            return Ending::Wrong { reason: "no end marker".to_owned() };
        }
        match call.owner().check(&self.text, call.max_tokens) {
            Ok(()) => Ending::Complete,
            Err(fault) => Ending::Wrong { reason: fault.to_string() },
        }
    }
}

async fn refused(reply: Response<ResponseBody>) -> Ending {
    let status = reply.status().as_u16();
    let read = reply.into_body().read_all(REPLY_LIMIT_BYTES, EVENT_TIMEOUT).await;
    let Ok(body) = read else { return Ending::Wrong { reason: "reply cut".to_owned() } };
    match serde_json::from_slice::<ErrorText>(&body) {
        Ok(error) => error.ending(status),
        Err(_) => Ending::Error { reason: format!("{status} without an error body") },
    }
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
