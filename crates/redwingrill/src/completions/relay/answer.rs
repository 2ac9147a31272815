//! One caller's answer in the making: what stays the same while legs come and go.

use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::Event;
use crate::Refusal;
use crate::completions::CompletionRequest;
use crate::completions::request::Delivered;
use crate::completions::request::LegFields;
use crate::dispatch::Ticket;
use crate::http::RequestId;
use crate::upstream::CompletionCall;
use crate::upstream::EngineClient;
use crate::upstream::LegStream;
use redwingrill_codes::ResultCode;
use redwingrill_stream::Fault;
use redwingrill_stream::Recovery;
use redwingrill_stream::RecoveryLimits;
use redwingrill_stream::Transcript;

/// How long a caller may take no data before its stream is ended.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// The caller's side is gone.
pub(super) struct CallerGone;

/// What an answer is made from.
pub(in crate::completions) struct AnswerParts {
    pub request_id: RequestId,
    pub request: CompletionRequest,
    pub engines: EngineClient,
    pub ticket: Ticket,
    pub events: mpsc::Sender<Event>,
    pub priority: u8,
    pub cache_salt: String,
    pub wants_usage: bool,
}

/// An answer in the making.
pub(in crate::completions) struct Answer {
    pub(super) parts: AnswerParts,
    pub(super) transcript: Transcript,
    pub(super) recovery: Recovery,
    leg: u32,
    // Whether the engine began to answer the present leg.
    pub(super) leg_began: bool,
    weights_version: Option<String>,
}

impl Answer {
    /// Makes an answer of which nothing is delivered.
    pub(in crate::completions) fn new(parts: AnswerParts) -> Self {
        let completion_id = format!("chatcmpl-{}", parts.request_id);
        let leg_id = parts.request_id.leg(0);
        Self {
            transcript: Transcript::new(&completion_id, &leg_id, parts.wants_usage),
            recovery: Recovery::new(RecoveryLimits::default()),
            leg: 0,
            leg_began: false,
            weights_version: None,
            parts,
        }
    }

    /// Returns the identifier of the present leg.
    pub(super) fn leg_id(&self) -> String {
        self.parts.request_id.leg(self.leg)
    }

    /// Returns the number of the present leg.
    pub(super) fn leg(&self) -> u32 {
        self.leg
    }

    /// Returns the call of a leg with this identifier at the present engine.
    pub(super) fn call<'a>(&self, leg_id: &'a str) -> CompletionCall<'a> {
        CompletionCall { address: self.parts.ticket.engine().address, leg_id }
    }

    /// Returns the name of the present engine.
    pub(super) fn engine(&self) -> &str {
        &self.parts.ticket.engine().name
    }

    /// Returns the request body of the present leg, which goes on from what was delivered.
    pub(super) fn leg_body(&self) -> Bytes {
        let delivered = self.transcript.has_text().then(|| Delivered {
            text: self.transcript.text(),
            tokens: self.transcript.delivered_tokens(),
        });
        self.parts.request.leg_body(&LegFields {
            priority: self.parts.priority,
            cache_salt: &self.parts.cache_salt,
            import_from: self.parts.ticket.engine().import_from,
            delivered,
        })
    }

    /// An answer begun with one version of the weights is not continued with another.
    pub(super) fn check_weights(&mut self, stream: &LegStream) -> Result<(), Fault> {
        let version = stream.weights_version();
        let same = self.weights_version.as_deref().is_none_or(|first| first == version);
        if !same && self.transcript.has_text() {
            return Err(Fault::Refused);
        }
        self.weights_version = Some(version.to_owned());
        Ok(())
    }

    /// Returns whether another engine could go on with the answer.
    pub(super) fn is_continuable(&self) -> bool {
        !self.transcript.has_output() || self.transcript.is_continuable()
    }

    /// Returns whether the engine had no token left to add.
    pub(super) fn is_at_limit(&self) -> bool {
        let limit = self.parts.request.token_limit();
        self.transcript.is_continuable()
            && limit.is_some_and(|limit| self.transcript.delivered_tokens() >= limit)
    }

    /// Moves the answer to another engine after a fault.
    pub(super) async fn replace(&mut self, fault: Fault) -> Result<(), Refusal> {
        if let Err(refusal) = self.parts.ticket.replace(fault).await {
            let may_have_run = self.recovery.may_have_run();
            let code = if may_have_run { self.recovery.final_code(fault) } else { refusal.code };
            return Err(Refusal { code, ..refusal });
        }
        self.leg += 1;
        self.leg_began = false;
        let leg_id = self.leg_id();
        self.transcript.begin_attempt(&leg_id);
        Ok(())
    }

    /// Cancels the present leg at its engine.
    pub(super) async fn cancel_leg(&self) {
        let leg_id = self.leg_id();
        self.parts.engines.cancel(self.call(&leg_id)).await;
    }

    /// Hands an event to the caller's side.
    pub(super) async fn send(&self, event: Event) -> Result<(), CallerGone> {
        match timeout(CALLER_TIMEOUT, self.parts.events.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerGone),
        }
    }

    /// Ends the answer well.
    pub(super) async fn complete(self) {
        let usage = self.transcript.usage();
        // A caller that hangs up now has its whole answer.
        let _sent = self.send(Event::Complete(usage)).await.is_ok();
        self.parts.ticket.finish(usage);
    }

    /// Ends the answer with an error.
    pub(super) async fn fail(self, event: Event) {
        if let Event::Failed(refusal) = &event {
            let (id, code) = (self.parts.request_id, refusal.code.number());
            warn!("event=request_failed request_id={id} code={code}");
        }
        let _sent = self.send(event).await.is_ok();
    }

    /// Ends the answer because nobody waits for it.
    pub(super) async fn abandon(self) {
        let (id, code) = (self.parts.request_id, ResultCode::RequestTimeout.number());
        info!("event=caller_gone request_id={id} code={code}");
        self.cancel_leg().await;
    }
}
