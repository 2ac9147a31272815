//! Relays a stream from one or more upstreams to the caller.
//!
//! Invariants:
//! - Only complete events are forwarded, each once and in order.
//! - The caller's stream ends normally only if an upstream's stream ended normally.
//! - A stream continues at another upstream only if it may be resumed, after the last event that
//!   was forwarded.

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
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::GatewayContext;
use super::call::Call;
use super::events::EventSplitter;
use super::response::Body;
use super::response::StreamAborted;
use super::send::SendOutcome;
use super::send::UpstreamResponse;
use super::send::send_attempt;
use crate::dispatch::Attempt;
use crate::dispatch::Purpose;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_transport::ResponseBody;

/// The pieces queued for a slow caller; while the queue is full, the upstream is not read.
const RELAY_QUEUE_LEN: usize = 8;

type StreamItem = Result<Frame<Bytes>, StreamAborted>;

/// A stream that is relayed to its caller.
pub(super) struct Relay {
    context: Arc<GatewayContext>,
    head: Parts,
    body: ResponseBody,
    attempt: Option<Attempt>,
    splitter: EventSplitter,
    first_events: Bytes,
    is_ended: bool,
    // A resumable stream without an event for this long is resumed at another upstream.
    stall_timeout: Duration,
    longest_pause: Duration,
}

/// How the segment of a stream from one upstream ended.
enum SegmentEnd {
    Complete,
    CallerDisconnected,
    DeadlineExceeded,
    Failed(String),
}

impl Relay {
    pub fn new(
        context: Arc<GatewayContext>,
        response: UpstreamResponse,
        last_event_id: Option<u64>,
    ) -> Self {
        let UpstreamResponse { parts: head, body, attempt } = response;
        let stall_timeout = Duration::from_millis(attempt.assignment().stall_timeout_ms);
        Self {
            context,
            head,
            body,
            attempt: Some(attempt),
            splitter: EventSplitter::after(last_event_id),
            first_events: Bytes::new(),
            is_ended: false,
            stall_timeout,
            longest_pause: Duration::ZERO,
        }
    }

    /// Waits for the first complete events.
    pub async fn wait_first_events(&mut self, wait: Duration) -> Result<(), String> {
        let events = async {
            loop {
                match self.body.next(wait).await.map_err(|e| e.to_string())? {
                    None => {
                        self.first_events = self.splitter.take_incomplete();
                        self.is_ended = true;
                        return Ok::<(), String>(());
                    }
                    Some(piece) => {
                        self.first_events = self.splitter.push(piece)?;
                        if !self.first_events.is_empty() {
                            return Ok(());
                        }
                    }
                }
            }
        };
        match tokio::time::timeout(wait, events).await {
            Ok(result) => result?,
            Err(_) => return Err(format!("no event within {} ms", wait.as_millis())),
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.report_prefilled();
        }
        Ok(())
    }

    /// Ends a stream as failed before anything was forwarded.
    pub fn fail(mut self) {
        self.end_attempt(Verdict::Failed);
    }

    /// Spawns the relay task and returns the response whose body it feeds.
    pub fn start(self, call: &mut Call, tasks: &TaskTracker) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(RELAY_QUEUE_LEN);
        let mut head = self.head.clone();
        self.context.head_codec.sanitize_response(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let call = detach_call(call);
        tasks.spawn(self.run(call, sender));
        let pieces = futures::stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|piece| (piece, receiver))
        });
        Response::from_parts(head, BodyExt::boxed(StreamBody::new(pieces)))
    }

    async fn run(mut self, mut call: Call, sender: mpsc::Sender<StreamItem>) {
        let first_events = std::mem::take(&mut self.first_events);
        if !first_events.is_empty() && sender.send(Ok(Frame::data(first_events))).await.is_err() {
            self.log_end(&call, "caller_left");
            return;
        }
        loop {
            match self.forward_events(&call, &sender).await {
                SegmentEnd::Complete => {
                    if let Some(attempt) = &self.attempt {
                        attempt.report_longest_pause(self.longest_pause.as_millis() as u64);
                    }
                    self.end_attempt(Verdict::Served);
                    self.log_end(&call, "complete");
                    return;
                }
                SegmentEnd::CallerDisconnected => {
                    self.log_end(&call, "caller_left");
                    return;
                }
                SegmentEnd::DeadlineExceeded => {
                    self.log_end(&call, "time_over");
                    let _disconnected = sender.send(Err(StreamAborted)).await.is_err();
                    return;
                }
                SegmentEnd::Failed(reason) => {
                    info!(
                        "event=stream_part_broken request_id={} reason={reason:?} last_event={:?}",
                        call.metadata.id,
                        self.splitter.last_id(),
                    );
                    self.end_attempt(Verdict::Failed);
                }
            }
            if !self.resume(&mut call).await {
                self.log_end(&call, "broken");
                let _disconnected = sender.send(Err(StreamAborted)).await.is_err();
                return;
            }
        }
    }

    async fn forward_events(
        &mut self,
        call: &Call,
        sender: &mpsc::Sender<StreamItem>,
    ) -> SegmentEnd {
        if self.is_ended {
            return SegmentEnd::Complete;
        }
        let mut last_event = Instant::now();
        loop {
            let remaining = call.remaining();
            if remaining.is_zero() {
                return SegmentEnd::DeadlineExceeded;
            }
            // Bytes that complete no event do not end a pause.
            let may_resume = call.may_retry() && self.splitter.last_id().is_some();
            let until_stalled = self.stall_timeout.saturating_sub(last_event.elapsed());
            let wait = if may_resume { until_stalled.min(remaining) } else { remaining };
            let piece = tokio::select! {
                biased;
                () = sender.closed() => return SegmentEnd::CallerDisconnected,
                piece = self.body.next(wait) => piece,
            };
            let events = match piece {
                Ok(Some(piece)) => match self.splitter.push(piece) {
                    Ok(events) => events,
                    Err(reason) => return SegmentEnd::Failed(reason.to_owned()),
                },
                Ok(None) => {
                    let incomplete = self.splitter.take_incomplete();
                    if !incomplete.is_empty()
                        && sender.send(Ok(Frame::data(incomplete))).await.is_err()
                    {
                        return SegmentEnd::CallerDisconnected;
                    }
                    return SegmentEnd::Complete;
                }
                Err(_) if call.remaining().is_zero() => return SegmentEnd::DeadlineExceeded,
                Err(e) => return SegmentEnd::Failed(e.to_string()),
            };
            if events.is_empty() {
                continue;
            }
            self.longest_pause = self.longest_pause.max(last_event.elapsed());
            let sent = tokio::time::timeout(remaining, sender.send(Ok(Frame::data(events)))).await;
            match sent {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return SegmentEnd::CallerDisconnected,
                Err(_) => return SegmentEnd::DeadlineExceeded,
            }
            last_event = Instant::now();
        }
    }

    /// Resumes the stream at another upstream after the last event that was forwarded. Returns
    /// whether an upstream took over.
    async fn resume(&mut self, call: &mut Call) -> bool {
        let Some(last_id) = self.splitter.last_id() else { return false };
        while call.may_retry() && !call.remaining().is_zero() {
            let choice =
                self.context.dispatcher.choose(call.schedule_request(), Purpose::Retry).await;
            let attempt = match choice {
                Ok(attempt) => attempt,
                Err((cause, _)) => {
                    info!("event=resume_refused request_id={} cause={cause:?}", call.metadata.id);
                    return false;
                }
            };
            let index = attempt.assignment().index;
            call.tried.push(index);
            call.sends += 1;
            info!(
                "event=resuming request_id={} upstream={} last_event={last_id}",
                call.metadata.id,
                attempt.assignment().upstream.id,
            );
            let (codec, pool) = (self.context.head_codec.as_ref(), &self.context.pool);
            match send_attempt(call, attempt, Some(last_id), codec, pool).await {
                SendOutcome::Responded(response) => {
                    call.possible_runs += 1;
                    let UpstreamResponse { parts, body, mut attempt } = *response;
                    if parts.status != StatusCode::OK {
                        attempt.end(Verdict::Failed, false);
                        continue;
                    }
                    attempt.report_prefilled();
                    self.stall_timeout =
                        Duration::from_millis(attempt.assignment().stall_timeout_ms);
                    self.body = body;
                    self.attempt = Some(attempt);
                    self.splitter = EventSplitter::after(Some(last_id));
                    return true;
                }
                SendOutcome::NotSent { .. } | SendOutcome::NotRun { .. } => {}
                SendOutcome::Lost { .. } | SendOutcome::TimedOut => call.possible_runs += 1,
            }
        }
        false
    }

    fn end_attempt(&mut self, verdict: Verdict) {
        if let Some(attempt) = self.attempt.take() {
            attempt.end(verdict, false);
        }
    }

    fn log_end(&self, call: &Call, outcome: &str) {
        self.context.metrics.attempt_ended(&call.service, outcome);
        info!(
            "event=stream_ended request_id={} outcome={outcome} age_ms={} last_event={:?} runs={} \
             longest_pause_ms={}",
            call.metadata.id,
            call.age_ms(),
            self.splitter.last_id(),
            call.possible_runs,
            self.longest_pause.as_millis(),
        );
    }
}

/// Moves the bulky parts of a call to the relay; what the handler still logs stays behind.
fn detach_call(call: &mut Call) -> Call {
    Call {
        headers: std::mem::take(&mut call.headers),
        body: std::mem::take(&mut call.body),
        tried: std::mem::take(&mut call.tried),
        ..call.clone()
    }
}
