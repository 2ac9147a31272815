//! Relays a stream from one or more upstreams to the caller.
//!
//! Invariants:
//! - Only complete events are forwarded, each once and in order.
//! - The caller's stream ends normally only if an upstream's stream is complete, see
//!   [`EventSplitter::finish`] and [`WholeAnswer`].
//! - A stream continues at another upstream only if it may be resumed, after the last event that
//!   was forwarded, and only at one with the version of the software that brought its first events.
//! - A silent upstream is left only if another one takes over; else its stream goes on.
//! - The upstream is read on while the caller reads slowly, see [`StreamSender::send`].
//! - Everything that a relay waits for ends as its caller leaves: events, a place at another upstream,
//!   the head of its answer, the evidence that an answer is whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use log::info;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::GatewayContext;
use super::call::Call;
use super::caller_queue::QueueLabel;
use super::events::EventSplitter;
use super::gateway::software_name;
use super::response::Body;
use super::response::relayed_head;
use super::resumption::record_origin;
use super::send::SendOutcome;
use super::send::UpstreamResponse;
use super::send::send_attempt;
use super::stream_body::StreamSender;
use super::stream_body::stream_body;
use super::whole_answer::WholeAnswer;
use crate::dispatch::Attempt;
use crate::dispatch::Purpose;
use redwingrill_routing::Upstream;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_transport::Framing;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::TransportError;

/// A stream that is relayed to its caller.
pub(super) struct Relay {
    context: Arc<GatewayContext>,
    head: Parts,
    // `None` while the stream moves from one upstream to another.
    body: Option<ResponseBody>,
    // Of the current segment.
    framing: Framing,
    upstream: Arc<Upstream>,
    attempt: Option<Attempt>,
    splitter: EventSplitter,
    first_events: Bytes,
    is_ended: bool,
    // Whether the connection to the upstream broke, or ended inside an event.
    is_broken: bool,
    // A resumable stream without an event for this long is resumed at another upstream.
    stall_timeout: Duration,
    last_event: Instant,
    longest_pause: Duration,
    // The pauses between the reads of events, and their number.
    all_pauses: Duration,
    pauses: u32,
}

/// How the segment of a stream from one upstream ended.
enum SegmentEnd {
    Complete(WholeAnswer),
    DeadlineExceeded,
    /// No event came for the stall timeout; the upstream may still be at work.
    Stalled,
    Failed(String),
}

/// How a relay ended.
enum RelayEnd {
    Complete(WholeAnswer),
    CallerLeft,
    /// The caller read too slowly.
    Aborted,
    DeadlineExceeded,
    Broken,
}

impl Relay {
    pub fn new(
        context: Arc<GatewayContext>,
        response: UpstreamResponse,
        last_event_id: Option<u64>,
    ) -> Self {
        let UpstreamResponse { parts: head, body, mut attempt, .. } = response;
        let framing = body.framing();
        if !framing.marks_end() {
            attempt.mark_inconclusive();
        }
        let stall_timeout = Duration::from_millis(attempt.assignment().stall_timeout_ms);
        let upstream = attempt.assignment().upstream.clone();
        let splitter = EventSplitter::after(last_event_id, context.pool.budget());
        Self {
            context,
            head,
            body: Some(body),
            framing,
            upstream,
            attempt: Some(attempt),
            splitter,
            first_events: Bytes::new(),
            is_ended: false,
            is_broken: false,
            stall_timeout,
            last_event: Instant::now(),
            longest_pause: Duration::ZERO,
            all_pauses: Duration::ZERO,
            pauses: 0,
        }
    }

    /// Waits for the first complete events.
    pub async fn wait_first_events(&mut self, wait: Duration) -> Result<(), String> {
        let events = async {
            loop {
                let Some(body) = &mut self.body else {
                    return Err("the stream has no upstream".to_owned());
                };
                let piece = body.next(wait).await.map_err(|e| {
                    self.is_broken = matches!(e, TransportError::Broken { .. });
                    e.to_string()
                })?;
                match piece {
                    None => {
                        let rest = self.splitter.finish(self.framing);
                        self.is_broken = rest.is_err();
                        self.first_events = rest?;
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
    pub fn start(mut self, call: &mut Call, connection: &CancellationToken) -> Response<Body> {
        let label = QueueLabel {
            request_id: call.metadata.id.clone(),
            account: call.account_name().to_owned(),
        };
        let (sender, body) = stream_body(&self.context.caller_queues, label, connection.clone());
        let head = relayed_head(self.head.clone(), self.context.head_codec.as_ref());
        record_origin(&self.context, call, &self.upstream);
        let mut call = detach_call(call);
        if call.software.is_none() {
            call.software.clone_from(&self.upstream.software);
        }
        self.last_event = Instant::now();
        let tasks = self.context.relays.clone();
        tasks.spawn(self.run(call, sender));
        Response::from_parts(head, body)
    }

    async fn run(mut self, mut call: Call, sender: StreamSender) {
        let end = tokio::select! {
            biased;
            () = sender.closed() => match sender.is_aborted() {
                true => RelayEnd::Aborted,
                false => RelayEnd::CallerLeft,
            },
            end = self.relay(&mut call, &sender) => end,
        };
        match end {
            RelayEnd::Complete(whole_answer) => {
                if let Some(attempt) = &self.attempt {
                    let mean_pause = self.all_pauses.checked_div(self.pauses);
                    let mean_pause_ms = mean_pause.map(|pause| pause.as_secs_f64() * 1_000.0);
                    attempt.report_pauses(self.longest_pause.as_millis() as u64, mean_pause_ms);
                }
                self.end_attempt(Verdict::Served);
                self.context.metrics.response_ended(&call.service, self.framing);
                self.log_end(&call, "complete");
                sender.complete(whole_answer);
            }
            RelayEnd::CallerLeft => self.log_end(&call, "caller_left"),
            RelayEnd::Aborted => self.log_end(&call, "aborted"),
            RelayEnd::DeadlineExceeded => self.log_end(&call, "time_over"),
            RelayEnd::Broken => self.log_end(&call, "broken"),
        }
    }

    /// Forwards events, from one upstream after the other. The futures of a change of the upstream
    /// are boxed: they are several times as large as that of a stream that needs none.
    async fn relay(&mut self, call: &mut Call, sender: &StreamSender) -> RelayEnd {
        let first_events = std::mem::take(&mut self.first_events);
        if !first_events.is_empty() {
            send_while_caller_reads(sender, first_events).await;
        }
        loop {
            match self.forward_events(call, sender).await {
                SegmentEnd::Complete(whole_answer) => return RelayEnd::Complete(whole_answer),
                SegmentEnd::DeadlineExceeded => return RelayEnd::DeadlineExceeded,
                SegmentEnd::Failed(reason) => {
                    info!(
                        "event=stream_part_broken request_id={} account={} reason={reason:?} \
                         last_event={:?} framing={} {}",
                        call.metadata.id,
                        call.account_name(),
                        self.splitter.last_id(),
                        self.framing,
                        call.ledger.last(),
                    );
                    self.end_attempt(Verdict::Failed);
                    self.body = None;
                }
                SegmentEnd::Stalled => {
                    let Some(next) = Box::pin(self.take_over(call)).await else {
                        self.stall_timeout *= 2;
                        continue;
                    };
                    self.end_attempt(Verdict::Failed);
                    self.body = None;
                    if Box::pin(self.resume_at(call, next)).await {
                        continue;
                    }
                }
            }
            if !Box::pin(self.resume(call)).await {
                return RelayEnd::Broken;
            }
        }
    }

    async fn forward_events(&mut self, call: &Call, sender: &StreamSender) -> SegmentEnd {
        if self.is_ended {
            return self.end_segment(call).await;
        }
        loop {
            let remaining = call.remaining();
            if remaining.is_zero() {
                return SegmentEnd::DeadlineExceeded;
            }
            // Bytes that complete no event do not end a pause.
            let may_resume = call.may_retry() && self.is_resumable(call);
            let until_stalled = self.stall_timeout.saturating_sub(self.last_event.elapsed());
            let Some(body) = &mut self.body else { return SegmentEnd::Stalled };
            let piece = tokio::select! {
                biased;
                piece = body.next(remaining) => piece,
                () = sleep(until_stalled), if may_resume => return SegmentEnd::Stalled,
            };
            let events = match piece {
                Ok(Some(piece)) => match self.splitter.push(piece) {
                    Ok(events) => events,
                    Err(reason) => return SegmentEnd::Failed(reason.to_owned()),
                },
                Ok(None) => {
                    let rest = match self.splitter.finish(self.framing) {
                        Ok(rest) => rest,
                        Err(reason) => {
                            self.is_broken = true;
                            return SegmentEnd::Failed(reason.to_owned());
                        }
                    };
                    if !rest.is_empty() {
                        send_while_caller_reads(sender, rest).await;
                    }
                    return self.end_segment(call).await;
                }
                Err(_) if call.remaining().is_zero() => return SegmentEnd::DeadlineExceeded,
                Err(e) => {
                    self.is_broken = matches!(e, TransportError::Broken { .. });
                    return SegmentEnd::Failed(e.to_string());
                }
            };
            if events.is_empty() {
                continue;
            }
            let pause = self.last_event.elapsed();
            self.longest_pause = self.longest_pause.max(pause);
            self.all_pauses += pause;
            self.pauses += 1;
            let sent = send_while_caller_reads(sender, events);
            if tokio::time::timeout(remaining, sent).await.is_err() {
                return SegmentEnd::DeadlineExceeded;
            }
            self.last_event = Instant::now();
        }
    }

    /// Ends a segment whose last byte was received.
    async fn end_segment(&mut self, call: &Call) -> SegmentEnd {
        let (framing, upstream) = (self.framing, &self.upstream);
        match self.context.confirm_whole(framing, upstream, call.remaining()).await {
            Ok(whole_answer) => SegmentEnd::Complete(whole_answer),
            Err(unconfirmed) => {
                self.is_broken = true;
                self.is_ended = false;
                SegmentEnd::Failed(unconfirmed.to_string())
            }
        }
    }

    /// Returns an attempt at another upstream that can take over a stalled stream now. `None` if
    /// there is none: then a slow upstream is better than a broken stream.
    async fn take_over(&self, call: &Call) -> Option<Attempt> {
        match self.context.choose(call, Purpose::Move).await {
            Ok(attempt) => Some(attempt),
            Err((cause, _)) => {
                info!(
                    "event=stall_kept request_id={} account={} cause={cause:?} pause_ms={} \
                     last_event={:?}",
                    call.metadata.id,
                    call.account_name(),
                    self.last_event.elapsed().as_millis(),
                    self.splitter.last_id(),
                );
                None
            }
        }
    }

    /// Returns whether the stream can be continued at another upstream. Without a known version of the
    /// software that began it, none is known to fit.
    fn is_resumable(&self, call: &Call) -> bool {
        self.splitter.last_id().is_some() && call.software.is_some()
    }

    /// Resumes the stream at another upstream after the last event that was forwarded. Returns
    /// whether an upstream took over.
    async fn resume(&mut self, call: &mut Call) -> bool {
        while self.is_resumable(call) && call.may_retry() && !call.remaining().is_zero() {
            let choice = self.context.choose(call, Purpose::Retry).await;
            let attempt = match choice {
                Ok(attempt) => attempt,
                Err((cause, _)) => {
                    let (id, account) = (&call.metadata.id, call.account_name());
                    info!("event=resume_refused request_id={id} account={account} cause={cause:?}");
                    return false;
                }
            };
            if self.resume_at(call, attempt).await {
                return true;
            }
        }
        false
    }

    /// Resumes the stream by one attempt. Returns whether its upstream took over.
    async fn resume_at(&mut self, call: &mut Call, attempt: Attempt) -> bool {
        let Some(last_id) = self.splitter.last_id() else { return false };
        call.tried.push(attempt.assignment().index);
        call.sends += 1;
        info!(
            "event=resuming request_id={} account={} upstream={} software={} was={} \
             last_event={last_id}",
            call.metadata.id,
            call.account_name(),
            attempt.assignment().upstream.id,
            software_name(attempt.assignment().upstream.software.as_ref()),
            software_name(self.upstream.software.as_ref()),
        );
        match send_attempt(&self.context, call, attempt, Some(last_id)).await {
            SendOutcome::Responded(response) => {
                let UpstreamResponse { parts, body, mut attempt, wants_pause } = *response;
                if parts.status != StatusCode::OK {
                    let verdict = if wants_pause { Verdict::Refused } else { Verdict::Failed };
                    attempt.end(verdict);
                    return false;
                }
                attempt.report_prefilled();
                self.framing = body.framing();
                self.upstream = attempt.assignment().upstream.clone();
                if !self.framing.marks_end() {
                    attempt.mark_inconclusive();
                }
                self.stall_timeout = Duration::from_millis(attempt.assignment().stall_timeout_ms);
                self.last_event = Instant::now();
                self.body = Some(body);
                self.is_broken = false;
                self.attempt = Some(attempt);
                self.splitter = EventSplitter::after(Some(last_id), self.context.pool.budget());
                true
            }
            SendOutcome::NotSent { not_run, .. } | SendOutcome::NotRun { not_run, .. } => {
                not_run.record();
                log_failed_resume(call);
                false
            }
            SendOutcome::Lost { .. } | SendOutcome::TimedOut => {
                log_failed_resume(call);
                false
            }
        }
    }

    fn end_attempt(&mut self, verdict: Verdict) {
        match self.attempt.take() {
            Some(attempt) if self.is_broken => attempt.end_broken(),
            Some(attempt) => attempt.end(verdict),
            None => {}
        }
    }

    fn log_end(&self, call: &Call, outcome: &str) {
        self.context.metrics.attempt_ended(&call.service, outcome);
        info!(
            "event=stream_ended request_id={} account={} outcome={outcome} age_ms={} last_event={:?} \
             runs={} longest_pause_ms={} upstream={} framing={} prompt_tokens={}",
            call.metadata.id,
            call.account_name(),
            call.age_ms(),
            self.splitter.last_id(),
            call.possible_runs(),
            self.longest_pause.as_millis(),
            self.upstream.id,
            self.framing,
            call.prompt_tokens(),
        );
    }
}

/// Queues events for the caller. Never returns if the caller has left or its stream was aborted,
/// which ends the relay.
async fn send_while_caller_reads(sender: &StreamSender, events: Bytes) {
    if sender.send(events).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn log_failed_resume(call: &Call) {
    let (id, account, send) = (&call.metadata.id, call.account_name(), call.ledger.last());
    info!("event=resume_failed request_id={id} account={account} {send}");
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
