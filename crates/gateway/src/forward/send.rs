//! Sending a request to an upstream and receiving the head of the response.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::response::Parts;
use log::debug;

use super::call::Call;
use super::gateway::GatewayContext;
use super::send_ledger::FailedSend;
use super::send_ledger::NotRun;
use crate::dispatch::Attempt;
use redwingrill_routing::ResponseMetadata;
use redwingrill_routing::UpstreamSignals;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::StatedUpstream;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

/// The connect timeout: many times the round-trip time within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The size limit of a response that is buffered before it is forwarded.
pub(super) const RESPONSE_LIMIT_BYTES: usize = 8 << 20;

/// The outcome of sending a request to an upstream.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The upstream returned a response head that belongs to this request.
    Responded(Box<UpstreamResponse>),
    /// The request did not reach the upstream.
    NotSent { reason: String, not_run: NotRun },
    /// The upstream states that it did not run the request.
    NotRun { status: StatusCode, not_run: NotRun },
    /// The upstream may have run the request.
    Lost { reason: String },
    /// No response arrived in time; the upstream may have run the request.
    TimedOut,
}

/// The head of an upstream's response, with the body still to be read.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub parts: Parts,
    pub body: ResponseBody,
    pub attempt: Attempt,
    /// Whether the upstream wants no request for a while.
    pub wants_pause: bool,
}

/// Sends a request to the upstream of `attempt` and waits for the response head, up to the
/// request's deadline.
pub(super) async fn send_attempt(
    context: &GatewayContext,
    call: &Call,
    attempt: Attempt,
    last_event_id: Option<u64>,
) -> SendOutcome {
    let remaining = call.remaining();
    let assignment = attempt.assignment();
    let address = assignment.upstream.address;
    let request = upstream_request(context, call, assignment, last_event_id);
    let timeouts = Timeouts { connect: CONNECT_TIMEOUT.min(remaining), head: remaining };
    let send = call.ledger.open(&assignment.upstream.id);
    let answered = match send.transmit(&context.pool, address, request, &timeouts).await {
        Ok(answered) => answered,
        Err(failed) => return failed_send(attempt, failed),
    };
    let mut metadata = context.head_codec.decode_response(&answered.parts.headers);
    // A refusal, too, may have been written for an earlier request on the connection.
    if !answered.is_of_request(&metadata) {
        attempt.end(Verdict::Failed);
        return SendOutcome::Lost { reason: "the response belongs to another request".to_owned() };
    }
    let (parts, body, not_run) = answered.into_not_run(&metadata);
    let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected {
        attempt.report_head(&metadata);
        // Only with this status does the header ask for a pause.
        if parts.status != StatusCode::SERVICE_UNAVAILABLE {
            metadata.signals.retry_after = None;
        }
        // An unsigned answer may name a limit, but not end one by its silence.
        if metadata.is_signed || metadata.signals != UpstreamSignals::default() {
            attempt.report_signals(&metadata.signals);
        }
    }
    if let Some(not_run) = not_run {
        if is_misdirected {
            let misdirection = misdirection(assignment, &metadata);
            attempt.end_misdirected(misdirection);
        } else {
            attempt.end(Verdict::Refused);
        }
        return drain_refusal(parts.status, body, not_run).await;
    }
    let mismatch = if !metadata.is_signed {
        Some("the response is not signed")
    } else if metadata.has_unexpected_encoding {
        Some("the response has an unexpected content encoding")
    } else {
        None
    };
    if let Some(reason) = mismatch {
        attempt.end(Verdict::Failed);
        return SendOutcome::Lost { reason: reason.to_owned() };
    }
    let wants_pause = metadata.signals.retry_after.is_some();
    SendOutcome::Responded(Box::new(UpstreamResponse { parts, body, attempt, wants_pause }))
}

fn misdirection(assignment: &Assignment, metadata: &ResponseMetadata) -> Misdirection {
    let expected =
        StatedUpstream { id: Some(&assignment.upstream.id), version: assignment.version };
    let answered =
        StatedUpstream { id: metadata.upstream_id.as_deref(), version: metadata.weights_version };
    Misdirection::of(expected, answered)
}

/// Returns the request of one attempt, under the scope of the configuration in force now.
fn upstream_request(
    context: &GatewayContext,
    call: &Call,
    assignment: &Assignment,
    last_event_id: Option<u64>,
) -> Request<Bytes> {
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let audience = context.cache_audience(call);
    let metadata = call.attempt_metadata(assignment, &audience, last_event_id);
    context.head_codec.encode_attempt(request.headers_mut(), &metadata);
    request
}

/// The timeout for reading the short body of a refusal; after it the connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads the body of a refusal, so that the connection can be reused. One that ends with its
/// connection is not waited for.
async fn drain_refusal(status: StatusCode, body: ResponseBody, not_run: NotRun) -> SendOutcome {
    if body.framing().marks_end()
        && let Err(e) = body.read_all(64 << 10, DRAIN_TIMEOUT).await
    {
        debug!("event=refusal_body_read_failed reason={:?}", e.to_string());
    }
    SendOutcome::NotRun { status, not_run }
}

fn failed_send(attempt: Attempt, failed: FailedSend) -> SendOutcome {
    let FailedSend { error, not_run } = failed;
    let reason = error.to_string();
    match error {
        TransportError::Unreachable { .. } => attempt.end(Verdict::Unreachable),
        TransportError::NoListener { .. } => attempt.end(Verdict::NoListener),
        TransportError::NotSent => attempt.end(Verdict::Unknown),
        TransportError::Broken { .. } => attempt.end_broken(),
        TransportError::Silent { .. }
        | TransportError::TooLarge { .. }
        | TransportError::BuffersFull => attempt.end(Verdict::Failed),
    }
    match not_run {
        Some(not_run) => SendOutcome::NotSent { reason, not_run },
        None if matches!(error, TransportError::Silent { .. }) => SendOutcome::TimedOut,
        None => SendOutcome::Lost { reason },
    }
}
