//! The events of one leg over one connection.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine::fault_of;
use redwingrill_stream::Fault;
use redwingrill_stream::SseEvent;
use redwingrill_stream::SseParser;
use redwingrill_transport::ResponseBody;

/// The longest event accepted from an engine.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// An open stream of events.
#[derive(Debug)]
pub struct LegStream {
    body: ResponseBody,
    parser: SseParser,
    events: VecDeque<SseEvent>,
    scratch: Vec<SseEvent>,
    weights_version: String,
    incarnation: String,
}

impl LegStream {
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

    /// Returns the version of the weights that the engine answers with.
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
    /// [`Fault::Broken`] also for the end of the body, since a stream ends with its end marker
    /// and is not read beyond it.
    pub async fn next(&mut self, wait: Duration) -> Result<SseEvent, Fault> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let piece = self.body.next(wait).await.map_err(|e| fault_of(&e))?;
            let piece = piece.ok_or(Fault::Broken)?;
            self.parser.push(&piece, &mut self.scratch).map_err(|_| Fault::Garbage)?;
            self.events.extend(self.scratch.drain(..));
        }
    }

    /// Reads the end of the body after the end marker, which gives the connection back.
    pub async fn finish(mut self, wait: Duration) {
        // Without a proper end the connection is closed by the drop, and nothing is lost.
        let _ended = self.body.next(wait).await;
    }
}
