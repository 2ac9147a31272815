//! The states of an answer and the steps between them.

use http::StatusCode;
use log::info;
use log::warn;
use tokio::time::Instant;

use super::Answer;
use super::Event;
use super::answer::CallerGone;
use crate::Refusal;
use crate::upstream::LegStream;
use crate::upstream::StartError;
use redwingrill_stream::Delivery;
use redwingrill_stream::Fault;
use redwingrill_stream::RecoveryAction;
use redwingrill_stream::SseEvent;
use redwingrill_stream::StreamError;

/// A leg is to be opened.
struct Opening {
    // Whether the present leg is resumed; otherwise a new one is started.
    resume: bool,
}

/// A leg gives events.
struct Streaming {
    leg: LegStream,
}

/// A leg has failed.
struct Faulted {
    fault: Fault,
}

/// An answer in one state.
struct Life<S> {
    answer: Answer,
    state: S,
}

/// The end of an answer.
enum End {
    Complete,
    CallerGone,
    Rejected { status: StatusCode, message: String },
    Failed(Refusal),
}

/// Why a leg stops before its end.
enum Stop {
    Fault(Fault),
    CallerGone,
}

impl From<Fault> for Stop {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

impl From<CallerGone> for Stop {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// What follows a state that is left.
enum After {
    Faulted(Life<Faulted>),
    Ended(Answer, End),
}

/// Runs until the answer is complete, has failed, or the caller is gone.
pub(in crate::completions) async fn run(answer: Answer) {
    let mut opening = Life { answer, state: Opening { resume: false } };
    let (answer, end) = loop {
        let after = match opening.open().await {
            Ok(streaming) => streaming.stream().await,
            Err(after) => after,
        };
        let recovered = match after {
            After::Faulted(faulted) => faulted.recover().await,
            After::Ended(answer, end) => break (answer, end),
        };
        match recovered {
            Ok(next) => opening = next,
            Err((answer, end)) => break (answer, end),
        }
    };
    match end {
        End::Complete => answer.complete().await,
        End::CallerGone => answer.abandon().await,
        End::Rejected { status, message } => {
            answer.fail(Event::Rejected { status, message }).await;
        }
        End::Failed(refusal) => answer.fail(Event::Failed(refusal)).await,
    }
}

impl<S> Life<S> {
    fn stopped(self, stop: Stop) -> After {
        match stop {
            Stop::Fault(fault) => {
                After::Faulted(Life { answer: self.answer, state: Faulted { fault } })
            }
            Stop::CallerGone => After::Ended(self.answer, End::CallerGone),
        }
    }
}

impl Life<Opening> {
    async fn open(mut self) -> Result<Life<Streaming>, After> {
        let opened = tokio::select! {
            () = self.answer.parts.events.closed() => return Err(self.stopped(Stop::CallerGone)),
            opened = self.open_leg() => opened,
        };
        let checked = opened.and_then(|leg| {
            self.answer.check_weights(&leg)?;
            Ok(leg)
        });
        match checked {
            Ok(leg) => Ok(Life { answer: self.answer, state: Streaming { leg } }),
            Err(StartError::Fault(fault)) => Err(self.stopped(fault.into())),
            Err(StartError::Rejected { status, message }) => {
                Err(After::Ended(self.answer, End::Rejected { status, message }))
            }
        }
    }

    async fn open_leg(&self) -> Result<LegStream, StartError> {
        let answer = &self.answer;
        let leg_id = answer.leg_id();
        let call = answer.call(&leg_id);
        if self.state.resume {
            let last_event = answer.transcript.last_event();
            return Ok(answer.parts.engines.resume(call, last_event).await?);
        }
        answer.parts.engines.start(call, answer.leg_body()).await
    }
}

impl Life<Streaming> {
    async fn stream(mut self) -> After {
        match self.deliver_all().await {
            Ok(()) => {
                let Self { answer, state } = self;
                state.leg.finish(answer.parts.engines.timeouts().token).await;
                After::Ended(answer, End::Complete)
            }
            Err(stop) => self.stopped(stop),
        }
    }

    async fn deliver_all(&mut self) -> Result<(), Stop> {
        let timeouts = *self.answer.parts.engines.timeouts();
        let opened = Instant::now();
        loop {
            let began = self.answer.leg_began;
            let wait = if began { timeouts.token } else { timeouts.first_token };
            let event = tokio::select! {
                () = self.answer.parts.events.closed() => return Err(Stop::CallerGone),
                event = self.state.leg.next(wait) => event?,
            };
            let delivery = self.accept(&event, opened)?;
            match delivery {
                Delivery::Skip => {}
                Delivery::Chunk(chunk) => self.answer.send(Event::Chunk(chunk)).await?,
                Delivery::End => return Ok(()),
            }
        }
    }

    fn accept(&mut self, event: &SseEvent, opened: Instant) -> Result<Delivery, Fault> {
        let answer = &mut self.answer;
        let request_id = answer.parts.request_id;
        let delivery = answer.transcript.accept(event).map_err(|e| {
            warn!("event=bad_event request_id={request_id} reason={:?}", e.to_string());
            fault_of(&e)
        })?;
        answer.recovery.event_received();
        if !std::mem::replace(&mut answer.leg_began, true) {
            let leg = &self.state.leg;
            answer.parts.ticket.first_token(leg.incarnation(), leg.weights_version());
            let wait_ms = opened.elapsed().as_millis();
            let engine = answer.engine();
            info!("event=first_token request_id={request_id} engine={engine} wait_ms={wait_ms}");
        }
        Ok(delivery)
    }
}

impl Life<Faulted> {
    async fn recover(self) -> Result<Life<Opening>, (Answer, End)> {
        let Self { mut answer, state: Faulted { fault } } = self;
        if answer.transcript.is_finished() {
            // Only the end marker is missing.
            return Err((answer, End::Complete));
        }
        if answer.is_at_limit() {
            let chunk = answer.transcript.finish_by_length();
            // A caller that is gone needs no end.
            let _sent = answer.send(Event::Chunk(chunk)).await.is_ok();
            return Err((answer, End::Complete));
        }
        let continuable = answer.is_continuable();
        let next = answer.recovery.action_after(fault, answer.leg_began, continuable);
        warn!(
            "event=leg_fault request_id={} leg={} engine={} fault={fault:?} next={next:?}",
            answer.parts.request_id,
            answer.leg(),
            answer.engine(),
        );
        match next {
            RecoveryAction::Resume => Ok(Life { answer, state: Opening { resume: true } }),
            RecoveryAction::Replace => replace(answer, fault).await,
            RecoveryAction::GiveUp(code) => {
                answer.cancel_leg().await;
                Err((answer, End::Failed(code.into())))
            }
        }
    }
}

async fn replace(mut answer: Answer, fault: Fault) -> Result<Life<Opening>, (Answer, End)> {
    if fault.may_have_run() {
        answer.cancel_leg().await;
    }
    match answer.replace(fault).await {
        Ok(()) => Ok(Life { answer, state: Opening { resume: false } }),
        Err(refusal) => Err((answer, End::Failed(refusal))),
    }
}

fn fault_of(error: &StreamError) -> Fault {
    match error {
        StreamError::Gap { .. } | StreamError::Malformed | StreamError::EarlyEnd => Fault::Garbage,
        StreamError::Mismatched => Fault::Crossed,
        StreamError::Upstream { .. } => Fault::Failed,
    }
}
