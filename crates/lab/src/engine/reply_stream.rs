//! The server-sent events of one reply, with the fault that is to strike it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use tokio::sync::watch;

use crate::engine::core::Core;
use crate::engine::stream_log::Progress;
use crate::engine::stream_log::StreamLog;
use crate::faults::FaultKind;
use crate::faults::FaultRule;
use crate::faults::Step;
use crate::net::Connection;
use crate::net::Cut;

/// The identifier that crossed replies carry.
pub const CROSSED_ID: &str = "crossed";
const GARBAGE_EVENT: &str = "data: {\"id\":\"chatcmpl-\u{fffd}\", not json\n\n";

/// A connection that reads a log, from attaching to detaching.
struct Reader {
    log: Arc<StreamLog>,
}

impl Reader {
    fn new(log: Arc<StreamLog>) -> Self {
        log.attach();
        Self { log }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.log.detach();
    }
}

/// What a reply is written with.
pub struct ReplyStream {
    core: Arc<Core>,
    reader: Reader,
    progress: watch::Receiver<Progress>,
    connection: Connection,
    fault: Option<FaultRule>,
    next_event: u32,
    is_cut: bool,
}

impl ReplyStream {
    pub fn new(
        core: Arc<Core>,
        log: Arc<StreamLog>,
        connection: Connection,
        fault: Option<FaultRule>,
        next_event: u32,
    ) -> Self {
        let progress = log.follow();
        let reader = Reader::new(log);
        Self { core, reader, progress, connection, fault, next_event, is_cut: false }
    }

    /// Returns the events as chunks of the body.
    pub fn chunks(self) -> impl Stream<Item = Result<Bytes, Cut>> + Send {
        futures::stream::unfold(self, |mut stream| async move {
            let chunk = stream.next_chunk().await?;
            Some((chunk, stream))
        })
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.is_cut || self.next_event > self.reader.log.last_event() {
            return None;
        }
        let event = self.next_event;
        if self.wait_for(event).await.is_err() {
            return Some(self.cut());
        }
        self.next_event += 1;
        match self.strike(event) {
            Some(rule) => self.faulty_chunk(event, rule).await,
            None => Some(Ok(self.chunk(event, &self.reader.log.head.request_id))),
        }
    }

    async fn wait_for(&mut self, event: u32) -> Result<(), Cut> {
        let log = &self.reader.log;
        let done = |progress: &Progress| progress.is_gone || log.is_ready(event, progress);
        let progress = self.progress.wait_for(done).await.map_err(|_| Cut)?;
        if log.is_ready(event, &progress) { Ok(()) } else { Err(Cut) }
    }

    /// Takes the fault if it strikes at this event.
    fn strike(&mut self, event: u32) -> Option<FaultRule> {
        let tokens = self.reader.log.head.generate_tokens;
        let is_due = match self.fault?.step {
            Step::Connect | Step::Headers => false,
            Step::Token(number) => event >= number && event <= tokens,
            Step::Last => event == tokens,
            Step::End => event == self.reader.log.last_event(),
        };
        if is_due { self.fault.take() } else { None }
    }

    async fn faulty_chunk(&mut self, event: u32, rule: FaultRule) -> Option<Result<Bytes, Cut>> {
        match rule.kind {
            FaultKind::Die => {
                self.core.crash(rule.delay_ms);
                Some(self.cut())
            }
            FaultKind::Silence => {
                self.connection.silence();
                std::future::pending().await
            }
            FaultKind::Cut | FaultKind::Refuse => Some(self.cut()),
            FaultKind::Slow => {
                tokio::time::sleep(Duration::from_millis(rule.delay_ms)).await;
                Some(Ok(self.chunk(event, &self.reader.log.head.request_id)))
            }
            FaultKind::Garbage => Some(Ok(Bytes::from_static(GARBAGE_EVENT.as_bytes()))),
            FaultKind::Crossed => Some(Ok(self.chunk(event, CROSSED_ID))),
        }
    }

    fn chunk(&self, event: u32, shown_id: &str) -> Bytes {
        let data = self.reader.log.event_data(event, shown_id);
        Bytes::from(format!("id: {event}\ndata: {data}\n\n"))
    }

    fn cut(&mut self) -> Result<Bytes, Cut> {
        self.is_cut = true;
        Err(Cut)
    }
}
