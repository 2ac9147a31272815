//! The relay of a stream from one or more upstreams to its caller.
//!
//! Invariants: only whole events are passed on, each once and in order; the caller's stream ends
//! well only where an upstream's stream ended well; a stream goes on at another upstream only if it
//! may be resumed, after the last event that was passed on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use log::info;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use super::GatewayParts;
use super::attempt::Answer;
use super::attempt::Attempt;
use super::attempt::attempt;
use super::call::Call;
use super::events::EventSplitter;
use super::reply::Body;
use super::reply::StreamAborted;
use crate::dispatch::Leg;
use crate::dispatch::Purpose;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_transport::ResponseBody;

/// Pieces that wait for a slow caller; beyond them the upstream is not read.
const PIECES_WAITING: usize = 8;

/// The silence after which a stream that may be resumed goes on at another upstream.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

type Piece = Result<Frame<Bytes>, StreamAborted>;

/// A stream on its way to its caller.
pub(super) struct Relay {
    parts: Arc<GatewayParts>,
    head: Parts,
    body: ResponseBody,
    leg: Option<Leg>,
    splitter: EventSplitter,
    first: Bytes,
    is_ended: bool,
}

/// How one upstream's part of a stream ended.
enum PartEnd {
    Complete,
    CallerLeft,
    TimeOver,
    Broken(String),
}

impl Relay {
    pub fn new(parts: Arc<GatewayParts>, answer: Answer, last_event_id: Option<u64>) -> Self {
        let Answer { parts: head, body, leg } = answer;
        Self {
            parts,
            head,
            body,
            leg: Some(leg),
            splitter: EventSplitter::after(last_event_id),
            first: Bytes::new(),
            is_ended: false,
        }
    }

    /// Waits for the first whole events.
    pub async fn first_events(&mut self, wait: Duration) -> Result<(), String> {
        let events = async {
            loop {
                match self.body.next(wait).await.map_err(|e| e.to_string())? {
                    None => {
                        self.first = self.splitter.rest();
                        self.is_ended = true;
                        return Ok::<(), String>(());
                    }
                    Some(piece) => {
                        self.first = self.splitter.push(piece)?;
                        if !self.first.is_empty() {
                            return Ok(());
                        }
                    }
                }
            }
        };
        match tokio::time::timeout(wait, events).await {
            Ok(done) => done?,
            Err(_) => return Err(format!("no event within {} ms", wait.as_millis())),
        }
        if let Some(leg) = &mut self.leg {
            leg.prompt_read();
        }
        Ok(())
    }

    /// Ends a stream of which nothing was passed on.
    pub fn failed(mut self) {
        self.end_leg(Verdict::Failed);
    }

    /// Begins to pass the stream on.
    pub fn start(self, call: &mut Call, tasks: &TaskTracker) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(PIECES_WAITING);
        let mut head = self.head.clone();
        self.parts.dialect.clean_reply(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let call = take(call);
        tasks.spawn(self.run(call, sender));
        let pieces = futures::stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|piece| (piece, receiver))
        });
        Response::from_parts(head, BodyExt::boxed(StreamBody::new(pieces)))
    }

    async fn run(mut self, mut call: Call, sender: mpsc::Sender<Piece>) {
        let first = std::mem::take(&mut self.first);
        if !first.is_empty() && sender.send(Ok(Frame::data(first))).await.is_err() {
            self.log_end(&call, "caller_left");
            return;
        }
        loop {
            match self.pass_on(&call, &sender).await {
                PartEnd::Complete => {
                    self.end_leg(Verdict::Served);
                    self.log_end(&call, "complete");
                    return;
                }
                PartEnd::CallerLeft => {
                    self.log_end(&call, "caller_left");
                    return;
                }
                PartEnd::TimeOver => {
                    self.log_end(&call, "time_over");
                    let _gone = sender.send(Err(StreamAborted)).await.is_err();
                    return;
                }
                PartEnd::Broken(reason) => {
                    info!(
                        "event=stream_part_broken request_id={} reason={reason:?} last_event={:?}",
                        call.facts.id,
                        self.splitter.last_id(),
                    );
                    self.end_leg(Verdict::Failed);
                }
            }
            if !self.resume(&mut call).await {
                self.log_end(&call, "broken");
                let _gone = sender.send(Err(StreamAborted)).await.is_err();
                return;
            }
        }
    }

    async fn pass_on(&mut self, call: &Call, sender: &mpsc::Sender<Piece>) -> PartEnd {
        if self.is_ended {
            return PartEnd::Complete;
        }
        loop {
            let left = call.left();
            if left.is_zero() {
                return PartEnd::TimeOver;
            }
            let may_move = call.may_run_again() && self.splitter.last_id().is_some();
            let wait = if may_move { SILENCE_LIMIT.min(left) } else { left };
            let piece = tokio::select! {
                biased;
                () = sender.closed() => return PartEnd::CallerLeft,
                piece = self.body.next(wait) => piece,
            };
            let events = match piece {
                Ok(Some(piece)) => match self.splitter.push(piece) {
                    Ok(events) => events,
                    Err(reason) => return PartEnd::Broken(reason.to_owned()),
                },
                Ok(None) => {
                    let rest = self.splitter.rest();
                    if !rest.is_empty() && sender.send(Ok(Frame::data(rest))).await.is_err() {
                        return PartEnd::CallerLeft;
                    }
                    return PartEnd::Complete;
                }
                Err(_) if call.left().is_zero() => return PartEnd::TimeOver,
                Err(e) => return PartEnd::Broken(e.to_string()),
            };
            if events.is_empty() {
                continue;
            }
            let sent = tokio::time::timeout(left, sender.send(Ok(Frame::data(events)))).await;
            match sent {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return PartEnd::CallerLeft,
                Err(_) => return PartEnd::TimeOver,
            }
        }
    }

    /// Goes on at another upstream after the last event that was passed on.
    async fn resume(&mut self, call: &mut Call) -> bool {
        let Some(last_id) = self.splitter.last_id() else { return false };
        while call.may_run_again() && !call.left().is_zero() {
            let chosen = self.parts.dispatcher.choose(call.ask(), Purpose::Again).await;
            let leg = match chosen {
                Ok(leg) => leg,
                Err((cause, _)) => {
                    info!("event=resume_refused request_id={} cause={cause:?}", call.facts.id);
                    return false;
                }
            };
            let index = leg.assignment().index;
            call.tried.push(index);
            call.sends += 1;
            info!(
                "event=resuming request_id={} upstream={} last_event={last_id}",
                call.facts.id,
                leg.assignment().upstream.id,
            );
            let (dialect, pool) = (self.parts.dialect.as_ref(), &self.parts.pool);
            match attempt(call, leg, Some(last_id), dialect, pool).await {
                Attempt::Answered(answer) => {
                    call.runs += 1;
                    let Answer { parts, body, mut leg } = *answer;
                    if parts.status != StatusCode::OK {
                        leg.end(Verdict::Failed, false);
                        continue;
                    }
                    leg.prompt_read();
                    self.body = body;
                    self.leg = Some(leg);
                    self.splitter = EventSplitter::after(Some(last_id));
                    return true;
                }
                Attempt::NotSent { .. } | Attempt::NotRun { .. } => {}
                Attempt::Lost { .. } | Attempt::Silent => call.runs += 1,
            }
        }
        false
    }

    fn end_leg(&mut self, verdict: Verdict) {
        if let Some(leg) = self.leg.take() {
            leg.end(verdict, false);
        }
    }

    fn log_end(&self, call: &Call, outcome: &str) {
        self.parts.metrics.leg_ended(&call.service, outcome);
        info!(
            "event=stream_ended request_id={} outcome={outcome} age_ms={} last_event={:?} runs={}",
            call.facts.id,
            call.age_ms(),
            self.splitter.last_id(),
            call.runs,
        );
    }
}

/// Takes a call over for the relay; what the handler logs afterwards stays.
fn take(call: &mut Call) -> Call {
    Call {
        headers: std::mem::take(&mut call.headers),
        body: std::mem::take(&mut call.body),
        tried: std::mem::take(&mut call.tried),
        ..call.clone()
    }
}
