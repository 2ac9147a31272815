//! Sending a request to an upstream and receiving the head of the response.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::response::Parts;
use log::debug;

use super::call::Call;
use super::gateway::GatewayContext;
use super::send_log::Evidence;
use super::send_log::SendLog;
use crate::dispatch::Attempt;
use redwingrill_routing::UpstreamSignals;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::StatedUpstream;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_transport::Freshness;
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
    NotSent { reason: String },
    /// The upstream states that it did not run the request.
    NotRun { status: StatusCode },
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
    call.send_log.begin(&assignment.upstream.id);
    let connections = call.send_log.connections();
    let sent = context.pool.send_recorded(address, request, Freshness::Any, &timeouts, connections);
    let response = match sent.await {
        Ok(response) => response,
        Err(e) => return failed_send(attempt, &call.send_log, &e),
    };
    let (parts, body) = response.into_parts();
    let mut metadata = context.head_codec.decode_response(&parts.headers);
    // A refusal, too, may have been written for an earlier request on the connection.
    if metadata.request_id.as_deref() != Some(call.metadata.id.as_str()) {
        attempt.end(Verdict::Failed);
        return SendOutcome::Lost { reason: "the response belongs to another request".to_owned() };
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        let expected =
            StatedUpstream { id: Some(&assignment.upstream.id), version: assignment.version };
        let answered = StatedUpstream {
            id: metadata.upstream_id.as_deref(),
            version: metadata.weights_version,
        };
        let misdirection = Misdirection::of(expected, answered);
        attempt.end_misdirected(misdirection);
        call.send_log.record_evidence(Evidence::Misdirected);
        return drain_refusal(parts.status, body).await;
    }
    attempt.report_head(&metadata);
    // Only with this status does the header ask for a pause.
    if parts.status != StatusCode::SERVICE_UNAVAILABLE {
        metadata.signals.retry_after = None;
    }
    // An unsigned answer may name a limit, but not end one by its silence.
    if metadata.is_signed || metadata.signals != UpstreamSignals::default() {
        attempt.report_signals(&metadata.signals);
    }
    if metadata.has_not_run {
        attempt.end(Verdict::Refused);
        call.send_log.record_evidence(Evidence::Stated);
        return drain_refusal(parts.status, body).await;
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
async fn drain_refusal(status: StatusCode, body: ResponseBody) -> SendOutcome {
    if body.framing().marks_end()
        && let Err(e) = body.read_all(64 << 10, DRAIN_TIMEOUT).await
    {
        debug!("event=refusal_body_read_failed reason={:?}", e.to_string());
    }
    SendOutcome::NotRun { status }
}

fn failed_send(attempt: Attempt, send_log: &SendLog, error: &TransportError) -> SendOutcome {
    let reason = error.to_string();
    match error {
        TransportError::Unreachable { .. } => {
            attempt.end(Verdict::Unreachable);
            send_log.record_evidence(Evidence::NotConnected);
            SendOutcome::NotSent { reason }
        }
        TransportError::NoListener { .. } => {
            attempt.end(Verdict::NoListener);
            send_log.record_evidence(Evidence::NotConnected);
            SendOutcome::NotSent { reason }
        }
        TransportError::NotSent => {
            attempt.end(Verdict::Unknown);
            send_log.record_evidence(Evidence::NotWritten);
            SendOutcome::NotSent { reason }
        }
        TransportError::Silent { .. } => {
            attempt.end(Verdict::Failed);
            SendOutcome::TimedOut
        }
        TransportError::Broken { .. } => {
            attempt.end_broken();
            SendOutcome::Lost { reason }
        }
        TransportError::TooLarge { .. } | TransportError::BuffersFull => {
            attempt.end(Verdict::Failed);
            SendOutcome::Lost { reason }
        }
    }
}
