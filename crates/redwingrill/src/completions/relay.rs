//! The task that feeds one caller's answer from the legs behind it.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;

use super::CompletionRequest;
use super::request::Delivered;
use super::request::LegFields;
use crate::Refusal;
use crate::dispatch::Ticket;
use crate::http::RequestId;
use crate::upstream::CompletionCall;
use crate::upstream::EngineClient;
use crate::upstream::LegStream;
use crate::upstream::StartError;
use redwingrill_codes::ResultCode;
use redwingrill_stream::Chunk;
use redwingrill_stream::Delivery;
use redwingrill_stream::Fault;
use redwingrill_stream::Next;
use redwingrill_stream::Recovery;
use redwingrill_stream::RecoveryLimits;
use redwingrill_stream::StreamError;
use redwingrill_stream::Transcript;
use redwingrill_stream::Usage;

/// How long a caller may take no data before its stream is ended.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// What the relay tells the caller's side.
#[derive(Debug)]
pub(super) enum Event {
    /// The next chunk.
    Chunk(Chunk),
    /// The answer is complete.
    Complete(Option<Usage>),
    /// The answer ends with an error.
    Failed(Refusal),
    /// The engine found the request itself at fault.
    Rejected { status: StatusCode, message: String },
}

/// The caller's side is gone.
struct CallerGone;

/// Why a leg ended before the answer was complete.
enum LegEnd {
    Fault(Fault),
    Rejected { status: StatusCode, message: String },
    CallerGone,
}

impl From<StartError> for LegEnd {
    fn from(error: StartError) -> Self {
        match error {
            StartError::Fault(fault) => Self::Fault(fault),
            StartError::Rejected { status, message } => Self::Rejected { status, message },
        }
    }
}

impl From<Fault> for LegEnd {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

impl From<CallerGone> for LegEnd {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// One caller's answer in the making.
pub(super) struct Relay {
    pub request_id: RequestId,
    pub request: Arc<CompletionRequest>,
    pub engines: EngineClient,
    pub ticket: Ticket,
    pub events: mpsc::Sender<Event>,
    pub priority: u8,
    pub cache_salt: String,
    pub wants_usage: bool,
}

/// The state of a relay while it runs.
struct Progress {
    transcript: Transcript,
    recovery: Recovery,
    leg: u32,
    // Whether the engine began to answer the present leg.
    leg_began: bool,
    weights_version: Option<String>,
    resuming: bool,
}

impl Relay {
    /// Runs until the answer is complete, has failed, or the caller is gone.
    pub async fn run(mut self) {
        let completion_id = format!("chatcmpl-{}", self.request_id);
        let mut progress = Progress {
            transcript: Transcript::new(&completion_id, &self.request_id.leg(0), self.wants_usage),
            recovery: Recovery::new(RecoveryLimits::default()),
            leg: 0,
            leg_began: false,
            weights_version: None,
            resuming: false,
        };
        loop {
            match self.run_leg(&mut progress).await {
                Ok(()) => return self.complete(&progress).await,
                Err(LegEnd::CallerGone) => return self.abandon(&progress).await,
                Err(LegEnd::Rejected { status, message }) => {
                    return self.end(Event::Rejected { status, message }).await;
                }
                Err(LegEnd::Fault(fault)) => {
                    if self.is_answered(&mut progress).await {
                        return self.complete(&progress).await;
                    }
                    if let Err(refusal) = self.recover(&mut progress, fault).await {
                        return self.end(Event::Failed(refusal)).await;
                    }
                }
            }
        }
    }

    async fn run_leg(&self, progress: &mut Progress) -> Result<(), LegEnd> {
        let mut stream = tokio::select! {
            () = self.events.closed() => return Err(LegEnd::CallerGone),
            opened = self.open(progress) => opened?,
        };
        self.check_weights(progress, &stream)?;
        let timeouts = *self.engines.timeouts();
        let first = Instant::now();
        loop {
            let wait = if progress.leg_began { timeouts.token } else { timeouts.first_token };
            let event = tokio::select! {
                () = self.events.closed() => return Err(LegEnd::CallerGone),
                event = stream.next(wait) => event?,
            };
            let delivery = progress.transcript.accept(&event).map_err(|e| self.fault_of(&e))?;
            if !std::mem::replace(&mut progress.leg_began, true) {
                self.ticket.first_token(stream.incarnation(), stream.weights_version());
                info!(
                    "event=first_token request_id={} engine={} wait_ms={}",
                    self.request_id,
                    self.ticket.engine().name,
                    first.elapsed().as_millis(),
                );
            }
            progress.recovery.progressed();
            match delivery {
                Delivery::Nothing => {}
                Delivery::Chunk(chunk) => self.send(Event::Chunk(chunk)).await?,
                Delivery::End => {
                    stream.finish(timeouts.token).await;
                    return Ok(());
                }
            }
        }
    }

    async fn open(&self, progress: &mut Progress) -> Result<LegStream, StartError> {
        let leg_id = self.request_id.leg(progress.leg);
        let call = CompletionCall { address: self.ticket.engine().address, leg_id: &leg_id };
        if progress.resuming {
            let last_event = progress.transcript.last_event();
            return Ok(self.engines.resume(call, last_event).await?);
        }
        let delivered = progress.transcript.has_text().then(|| Delivered {
            text: progress.transcript.text(),
            tokens: progress.transcript.delivered_tokens(),
        });
        let body = self.request.leg_body(&LegFields {
            priority: self.priority,
            cache_salt: &self.cache_salt,
            import_from: self.ticket.engine().import_from,
            delivered,
        });
        self.engines.start(call, body).await
    }

    /// An answer begun with one version of the weights is not continued with another.
    fn check_weights(&self, progress: &mut Progress, stream: &LegStream) -> Result<(), Fault> {
        let version = stream.weights_version();
        let same = progress.weights_version.as_deref().is_none_or(|first| first == version);
        if !same && progress.transcript.has_text() {
            return Err(Fault::Refused);
        }
        progress.weights_version = Some(version.to_owned());
        Ok(())
    }

    /// Returns whether the caller has its answer though the leg has failed: only the end marker is
    /// missing, or the engine had no token left to add.
    async fn is_answered(&self, progress: &mut Progress) -> bool {
        let transcript = &mut progress.transcript;
        if transcript.is_answered() {
            return true;
        }
        let limit = self.request.token_limit();
        if !transcript.is_continuable() || limit.is_none_or(|l| transcript.delivered_tokens() < l) {
            return false;
        }
        let chunk = transcript.finish_by_length();
        // A caller that is gone needs no end.
        let _sent = self.send(Event::Chunk(chunk)).await.is_ok();
        true
    }

    async fn recover(&mut self, progress: &mut Progress, fault: Fault) -> Result<(), Refusal> {
        let transcript = &progress.transcript;
        let continuable = !transcript.has_output() || transcript.is_continuable();
        let next = progress.recovery.after(fault, progress.leg_began, continuable);
        warn!(
            "event=leg_fault request_id={} leg={} engine={} fault={fault:?} next={next:?}",
            self.request_id,
            progress.leg,
            self.ticket.engine().name,
        );
        match next {
            Next::Resume => progress.resuming = true,
            Next::Replace => {
                if fault.may_have_run() {
                    self.cancel_leg(progress).await;
                }
                self.replace(progress, fault).await?;
            }
            Next::GiveUp(code) => {
                self.cancel_leg(progress).await;
                return Err(code.into());
            }
        }
        Ok(())
    }

    async fn replace(&mut self, progress: &mut Progress, fault: Fault) -> Result<(), Refusal> {
        if let Err(refusal) = self.ticket.replace(fault).await {
            let may_have_run = progress.recovery.may_have_run();
            let code =
                if may_have_run { progress.recovery.final_code(fault) } else { refusal.code };
            return Err(Refusal { code, ..refusal });
        }
        progress.leg += 1;
        progress.leg_began = false;
        progress.resuming = false;
        progress.transcript.begin_leg(&self.request_id.leg(progress.leg));
        Ok(())
    }

    async fn cancel_leg(&self, progress: &Progress) {
        let leg_id = self.request_id.leg(progress.leg);
        let call = CompletionCall { address: self.ticket.engine().address, leg_id: &leg_id };
        self.engines.cancel(call).await;
    }

    fn fault_of(&self, error: &StreamError) -> Fault {
        warn!("event=bad_event request_id={} reason={:?}", self.request_id, error.to_string());
        match error {
            StreamError::Gap { .. } | StreamError::Garbage | StreamError::EarlyEnd => {
                Fault::Garbage
            }
            StreamError::Crossed => Fault::Crossed,
            StreamError::Upstream { .. } => Fault::Failed,
        }
    }

    async fn send(&self, event: Event) -> Result<(), CallerGone> {
        match timeout(CALLER_TIMEOUT, self.events.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    async fn complete(self, progress: &Progress) {
        let usage = progress.transcript.usage();
        // A caller that hangs up now has its whole answer.
        let _sent = self.send(Event::Complete(usage)).await.is_ok();
        self.ticket.finish(usage);
    }

    async fn end(self, event: Event) {
        if let Event::Failed(refusal) = &event {
            let code = refusal.code;
            warn!("event=request_failed request_id={} code={}", self.request_id, code.number());
        }
        let _sent = self.send(event).await.is_ok();
    }

    async fn abandon(self, progress: &Progress) {
        let code = ResultCode::RequestTimeout;
        info!("event=caller_gone request_id={} code={}", self.request_id, code.number());
        self.cancel_leg(progress).await;
    }
}
