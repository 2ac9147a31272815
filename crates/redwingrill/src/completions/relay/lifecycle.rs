//! The states of a relay and the transitions between them.

use http::StatusCode;
use log::info;
use log::warn;
use tokio::time::Instant;

use super::Completion;
use super::Event;
use super::completion::CallerDisconnected;
use crate::Refusal;
use crate::upstream::AttemptStream;
use crate::upstream::StartError;
use redwingrill_stream::Delivery;
use redwingrill_stream::Fault;
use redwingrill_stream::RecoveryAction;
use redwingrill_stream::SseEvent;
use redwingrill_stream::StreamError;

/// An attempt is about to be started or resumed.
struct Opening {
    // Whether the current attempt is resumed; otherwise a new one is started.
    resume: bool,
}

/// An attempt streams events.
struct Streaming {
    stream: AttemptStream,
}

/// An attempt has failed.
struct Faulted {
    fault: Fault,
}

/// A relay in one state.
struct Relay<S> {
    completion: Completion,
    state: S,
}

/// The outcome of a completion.
enum Outcome {
    Complete,
    CallerDisconnected,
    Rejected { status: StatusCode, message: String },
    Failed(Refusal),
}

/// The reason why an attempt stops before its end.
enum StopReason {
    Fault(Fault),
    CallerDisconnected,
}

impl From<Fault> for StopReason {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

impl From<CallerDisconnected> for StopReason {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

/// The state after an attempt has stopped.
enum Transition {
    Faulted(Relay<Faulted>),
    Ended(Completion, Outcome),
}

/// Runs until the completion ends or the caller disconnects.
pub(in crate::completions) async fn run(completion: Completion) {
    let mut opening = Relay { completion, state: Opening { resume: false } };
    let (completion, outcome) = loop {
        let after = match opening.open().await {
            Ok(streaming) => streaming.stream().await,
            Err(after) => after,
        };
        let recovered = match after {
            Transition::Faulted(faulted) => faulted.recover().await,
            Transition::Ended(completion, outcome) => break (completion, outcome),
        };
        match recovered {
            Ok(next) => opening = next,
            Err((completion, outcome)) => break (completion, outcome),
        }
    };
    match outcome {
        Outcome::Complete => completion.complete().await,
        Outcome::CallerDisconnected => completion.abandon().await,
        Outcome::Rejected { status, message } => {
            completion.fail(Event::Rejected { status, message }).await;
        }
        Outcome::Failed(refusal) => completion.fail(Event::Failed(refusal)).await,
    }
}

impl<S> Relay<S> {
    fn stopped(self, reason: StopReason) -> Transition {
        match reason {
            StopReason::Fault(fault) => {
                Transition::Faulted(Relay { completion: self.completion, state: Faulted { fault } })
            }
            StopReason::CallerDisconnected => {
                Transition::Ended(self.completion, Outcome::CallerDisconnected)
            }
        }
    }
}

impl Relay<Opening> {
    async fn open(mut self) -> Result<Relay<Streaming>, Transition> {
        let opened = tokio::select! {
            () = self.completion.parts.events.closed() => return Err(self.stopped(StopReason::CallerDisconnected)),
            opened = self.open_attempt() => opened,
        };
        let checked = opened.and_then(|stream| {
            self.completion.check_weights(&stream)?;
            Ok(stream)
        });
        match checked {
            Ok(stream) => Ok(Relay { completion: self.completion, state: Streaming { stream } }),
            Err(StartError::Fault(fault)) => Err(self.stopped(fault.into())),
            Err(StartError::Rejected { status, message }) => {
                let outcome = self.rejected(status, message);
                Err(Transition::Ended(self.completion, outcome))
            }
        }
    }

    /// Returns the outcome if the engine rejected this attempt. The code of a rejection says that the
    /// request was not run, which an earlier attempt may contradict.
    fn rejected(&self, status: StatusCode, message: String) -> Outcome {
        let recovery = &self.completion.recovery;
        if !recovery.may_have_run() {
            return Outcome::Rejected { status, message };
        }
        let detail = format!("another engine rejected the request with status {status}: {message}");
        Outcome::Failed(Refusal::with_detail(recovery.final_code(Fault::Refused), detail))
    }

    async fn open_attempt(&self) -> Result<AttemptStream, StartError> {
        let completion = &self.completion;
        let attempt_id = completion.attempt_id();
        let call = completion.call(&attempt_id);
        if self.state.resume {
            let last_event = completion.transcript.last_event();
            return Ok(completion.parts.engines.resume(call, last_event).await?);
        }
        completion.parts.engines.start(call, completion.attempt_body()).await
    }
}

impl Relay<Streaming> {
    async fn stream(mut self) -> Transition {
        match self.deliver_all().await {
            Ok(()) => {
                let Self { completion, state } = self;
                state.stream.finish(completion.parts.engines.timeouts().token).await;
                Transition::Ended(completion, Outcome::Complete)
            }
            Err(reason) => self.stopped(reason),
        }
    }

    async fn deliver_all(&mut self) -> Result<(), StopReason> {
        let timeouts = *self.completion.parts.engines.timeouts();
        let opened = Instant::now();
        loop {
            let began = self.completion.attempt_began;
            let event_timeout = if began { timeouts.token } else { timeouts.first_token };
            let event = tokio::select! {
                () = self.completion.parts.events.closed() => return Err(StopReason::CallerDisconnected),
                event = self.state.stream.next(event_timeout) => event?,
            };
            let delivery = self.accept(&event, opened)?;
            match delivery {
                Delivery::Skip => {}
                Delivery::Chunk(chunk) => self.completion.send(Event::Chunk(chunk)).await?,
                Delivery::End => return Ok(()),
            }
        }
    }

    fn accept(&mut self, event: &SseEvent, opened: Instant) -> Result<Delivery, Fault> {
        let completion = &mut self.completion;
        let request_id = completion.parts.request_id;
        let delivery = completion.transcript.accept(event).map_err(|e| {
            warn!("event=bad_event request_id={request_id} reason={:?}", e.to_string());
            fault_from_error(&e)
        })?;
        completion.recovery.event_received();
        if !std::mem::replace(&mut completion.attempt_began, true) {
            let stream = &self.state.stream;
            completion.parts.ticket.first_token(stream.incarnation(), stream.weights_version());
            let wait_ms = opened.elapsed().as_millis();
            let engine = completion.engine();
            info!("event=first_token request_id={request_id} engine={engine} wait_ms={wait_ms}");
        }
        Ok(delivery)
    }
}

impl Relay<Faulted> {
    async fn recover(self) -> Result<Relay<Opening>, (Completion, Outcome)> {
        let Self { mut completion, state: Faulted { fault } } = self;
        if completion.transcript.is_finished() {
            // Only the end marker is missing.
            return Err((completion, Outcome::Complete));
        }
        if completion.is_at_limit() {
            let chunk = completion.transcript.finish_by_length();
            // The result does not matter if the caller has disconnected.
            let _sent = completion.send(Event::Chunk(chunk)).await.is_ok();
            return Err((completion, Outcome::Complete));
        }
        let continuable = completion.is_continuable();
        let next = completion.recovery.action_after(fault, completion.attempt_began, continuable);
        warn!(
            "event=leg_fault request_id={} leg={} engine={} fault={fault:?} next={next:?}",
            completion.parts.request_id,
            completion.attempt(),
            completion.engine(),
        );
        match next {
            RecoveryAction::Resume => Ok(Relay { completion, state: Opening { resume: true } }),
            RecoveryAction::Replace => replace(completion, fault).await,
            RecoveryAction::GiveUp(code) => {
                completion.cancel_attempt().await;
                Err((completion, Outcome::Failed(code.into())))
            }
        }
    }
}

async fn replace(
    mut completion: Completion,
    fault: Fault,
) -> Result<Relay<Opening>, (Completion, Outcome)> {
    if fault.may_have_run() {
        completion.cancel_attempt().await;
    }
    match completion.replace(fault).await {
        Ok(()) => Ok(Relay { completion, state: Opening { resume: false } }),
        Err(refusal) => Err((completion, Outcome::Failed(refusal))),
    }
}

fn fault_from_error(error: &StreamError) -> Fault {
    match error {
        StreamError::Gap { .. } | StreamError::Malformed | StreamError::EarlyEnd => Fault::Garbage,
        StreamError::Mismatched => Fault::Crossed,
        StreamError::Upstream { .. } => Fault::Failed,
    }
}
