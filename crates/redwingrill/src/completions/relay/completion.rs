//! A completion in progress: the state that all attempts share.

use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::Event;
use crate::Refusal;
use crate::completions::CompletionRequest;
use crate::completions::request::AttemptFields;
use crate::completions::request::Delivered;
use crate::dispatch::Ticket;
use crate::http::RequestId;
use crate::upstream::AttemptStream;
use crate::upstream::CompletionCall;
use crate::upstream::EngineClient;
use redwingrill_codes::ResultCode;
use redwingrill_stream::Fault;
use redwingrill_stream::Recovery;
use redwingrill_stream::RecoveryLimits;
use redwingrill_stream::Transcript;

/// How long a caller may accept no data before its stream is ended.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// The caller has disconnected or does not accept data.
pub(super) struct CallerDisconnected;

/// The parameters of a completion.
pub(in crate::completions) struct CompletionParts {
    pub request_id: RequestId,
    pub request: CompletionRequest,
    pub engines: EngineClient,
    pub ticket: Ticket,
    pub events: mpsc::Sender<Event>,
    pub priority: u8,
    pub cache_salt: String,
    pub wants_usage: bool,
}

/// A completion in progress.
pub(in crate::completions) struct Completion {
    pub(super) parts: CompletionParts,
    pub(super) transcript: Transcript,
    pub(super) recovery: Recovery,
    attempt: u32,
    // Whether the current attempt has produced an event.
    pub(super) attempt_began: bool,
    weights_version: Option<String>,
}

impl Completion {
    /// Creates a completion without any output.
    pub(in crate::completions) fn new(parts: CompletionParts) -> Self {
        let completion_id = format!("chatcmpl-{}", parts.request_id);
        let attempt_id = parts.request_id.attempt_id(0);
        Self {
            transcript: Transcript::new(&completion_id, &attempt_id, parts.wants_usage),
            recovery: Recovery::new(RecoveryLimits::default()),
            attempt: 0,
            attempt_began: false,
            weights_version: None,
            parts,
        }
    }

    /// Returns the identifier of the current attempt.
    pub(super) fn attempt_id(&self) -> String {
        self.parts.request_id.attempt_id(self.attempt)
    }

    /// Returns the number of the current attempt.
    pub(super) fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the call of the attempt with this identifier at the current engine.
    pub(super) fn call<'a>(&self, attempt_id: &'a str) -> CompletionCall<'a> {
        CompletionCall { address: self.parts.ticket.engine().address, attempt_id }
    }

    /// Returns the name of the current engine.
    pub(super) fn engine(&self) -> &str {
        &self.parts.ticket.engine().name
    }

    /// Returns the request body of the current attempt, which continues from the delivered text.
    pub(super) fn attempt_body(&self) -> Bytes {
        let delivered = self.transcript.has_text().then(|| Delivered {
            text: self.transcript.text(),
            tokens: self.transcript.delivered_tokens(),
        });
        self.parts.request.attempt_body(&AttemptFields {
            priority: self.parts.priority,
            cache_salt: &self.parts.cache_salt,
            import_from: self.parts.ticket.engine().import_from,
            delivered,
        })
    }

    /// Checks that output of one weights version is not continued with another version.
    pub(super) fn check_weights(&mut self, stream: &AttemptStream) -> Result<(), Fault> {
        let version = stream.weights_version();
        let same = self.weights_version.as_deref().is_none_or(|first| first == version);
        if !same && self.transcript.has_text() {
            return Err(Fault::Refused);
        }
        self.weights_version = Some(version.to_owned());
        Ok(())
    }

    /// Returns whether another engine can continue the completion.
    pub(super) fn is_continuable(&self) -> bool {
        !self.transcript.has_output() || self.transcript.is_continuable()
    }

    /// Returns whether the delivered output has reached the caller's token limit.
    pub(super) fn is_at_limit(&self) -> bool {
        let limit = self.parts.request.token_limit();
        self.transcript.is_continuable()
            && limit.is_some_and(|limit| self.transcript.delivered_tokens() >= limit)
    }

    /// Moves the completion to another engine after a fault.
    pub(super) async fn replace(&mut self, fault: Fault) -> Result<(), Refusal> {
        if let Err(refusal) = self.parts.ticket.replace(fault).await {
            let may_have_run = self.recovery.may_have_run();
            let code = if may_have_run { self.recovery.final_code(fault) } else { refusal.code };
            return Err(Refusal { code, ..refusal });
        }
        self.attempt += 1;
        self.attempt_began = false;
        let attempt_id = self.attempt_id();
        self.transcript.begin_attempt(&attempt_id);
        Ok(())
    }

    /// Cancels the current attempt at its engine.
    pub(super) async fn cancel_attempt(&self) {
        let attempt_id = self.attempt_id();
        self.parts.engines.cancel(self.call(&attempt_id)).await;
    }

    /// Sends an event to the caller.
    pub(super) async fn send(&self, event: Event) -> Result<(), CallerDisconnected> {
        match timeout(CALLER_WRITE_TIMEOUT, self.parts.events.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CallerDisconnected),
        }
    }

    /// Ends the completion successfully.
    pub(super) async fn complete(self) {
        let usage = self.transcript.usage();
        // A caller that disconnects now has received the complete output.
        let _sent = self.send(Event::Complete(usage)).await.is_ok();
        self.parts.ticket.finish(usage);
    }

    /// Ends the completion with an error.
    pub(super) async fn fail(self, event: Event) {
        if let Event::Failed(refusal) = &event {
            let (id, code) = (self.parts.request_id, refusal.code.number());
            warn!("event=request_failed request_id={id} code={code}");
        }
        let _sent = self.send(event).await.is_ok();
    }

    /// Ends the completion because the caller has disconnected.
    pub(super) async fn abandon(self) {
        let (id, code) = (self.parts.request_id, ResultCode::RequestTimeout.number());
        info!("event=caller_gone request_id={id} code={code}");
        self.cancel_attempt().await;
    }
}
