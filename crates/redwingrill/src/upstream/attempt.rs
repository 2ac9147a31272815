//! The event stream of one attempt over one connection.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine::fault_from_error;
use redwingrill_stream::Fault;
use redwingrill_stream::SseEvent;
use redwingrill_stream::SseParser;
use redwingrill_transport::ResponseBody;

/// The size limit of an event from an engine.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// An open event stream of an attempt.
#[derive(Debug)]
pub struct AttemptStream {
    body: ResponseBody,
    parser: SseParser,
    events: VecDeque<SseEvent>,
    scratch: Vec<SseEvent>,
    weights_version: String,
    incarnation: String,
}

impl AttemptStream {
    pub(super) fn new(body: ResponseBody, weights_version: String, incarnation: String) -> Self {
        Self {
            body,
            parser: SseParser::new(EVENT_LIMIT_BYTES),
            events: VecDeque::new(),
            scratch: Vec::new(),
            weights_version,
            incarnation,
        }
    }

    /// Returns the weights version that the engine serves.
    pub fn weights_version(&self) -> &str {
        &self.weights_version
    }

    /// Returns the engine's incarnation.
    pub fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// [`Fault::Broken`] also for the end of the body, because a stream ends with its end marker
    /// and is not read beyond it.
    pub async fn next(&mut self, timeout: Duration) -> Result<SseEvent, Fault> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let chunk = self.body.next(timeout).await.map_err(|e| fault_from_error(&e))?;
            let chunk = chunk.ok_or(Fault::Broken)?;
            self.parser.push(&chunk, &mut self.scratch).map_err(|_| Fault::Garbage)?;
            self.events.extend(self.scratch.drain(..));
        }
    }

    /// Reads the end of the body after the end marker, which returns the connection to the pool.
    pub async fn finish(mut self, timeout: Duration) {
        // If the body does not end, dropping it closes the connection; the events are complete.
        let _ended = self.body.next(timeout).await;
    }
}
