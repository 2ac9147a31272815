//! One send of a request to an upstream, up to the head of the reply.

use std::time::Duration;

use http::Request;
use http::StatusCode;
use http::response::Parts;
use log::debug;

use super::call::Call;
use crate::dispatch::Leg;
use redwingrill_routing::HeadDialect;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

/// How long opening a connection may take: many times the round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The largest answer that is gathered before it is passed on.
pub(super) const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// How a send ended.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The head of the upstream's own answer came.
    Answered(Box<Answer>),
    /// No upstream got the request.
    NotSent { reason: String },
    /// The upstream states that it did not run the request.
    NotRun { status: StatusCode },
    /// The upstream may have run the request.
    Lost { reason: String },
    /// Nothing came in time; the upstream may have run the request.
    Silent,
}

/// The head of an answer, and the rest to come.
#[derive(Debug)]
pub(super) struct Answer {
    pub parts: Parts,
    pub body: ResponseBody,
    pub leg: Leg,
}

/// Sends a request to the upstream of `leg` and waits for the head of the reply, to the end of the
/// request's time.
pub(super) async fn attempt(
    call: &Call,
    leg: Leg,
    last_event_id: Option<u64>,
    dialect: &dyn HeadDialect,
    pool: &Pool,
) -> Attempt {
    let wait = call.left();
    let assignment = leg.assignment();
    let address = assignment.upstream.address;
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    dialect.write_leg(request.headers_mut(), &call.orders(assignment, last_event_id));
    let timeouts = Timeouts { connect: CONNECT_TIMEOUT.min(wait), head: wait };
    let reply = match pool.send(address, request, Freshness::Any, &timeouts).await {
        Ok(reply) => reply,
        Err(e) => return failed(leg, &e),
    };
    let (parts, body) = reply.into_parts();
    let facts = dialect.read_reply(&parts.headers);
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        leg.end(Verdict::Unknown, true);
        return drained(parts.status, body).await;
    }
    leg.head(&facts);
    if facts.has_not_run {
        leg.end(Verdict::Refused, false);
        return drained(parts.status, body).await;
    }
    let fault = if facts.request_id.as_deref() != Some(call.facts.id.as_str()) {
        Some("the reply belongs to another request")
    } else if !facts.is_signed {
        Some("the reply is not signed")
    } else if facts.is_recoded {
        Some("the reply is in another coding")
    } else {
        None
    };
    if let Some(reason) = fault {
        leg.end(Verdict::Failed, false);
        return Attempt::Lost { reason: reason.to_owned() };
    }
    Attempt::Answered(Box::new(Answer { parts, body, leg }))
}

/// How long the short body of a refusal may take before its connection is given up.
const DRAIN_WAIT: Duration = Duration::from_millis(50);

/// Reads the body of a refusal, so that its connection can be used again.
async fn drained(status: StatusCode, body: ResponseBody) -> Attempt {
    if let Err(e) = body.read_all(64 << 10, DRAIN_WAIT).await {
        debug!("event=refusal_body_unread reason={:?}", e.to_string());
    }
    Attempt::NotRun { status }
}

fn failed(leg: Leg, error: &TransportError) -> Attempt {
    let reason = error.to_string();
    match error {
        TransportError::Unreachable { .. } => {
            leg.end(Verdict::Unreachable, false);
            Attempt::NotSent { reason }
        }
        TransportError::NotSent => {
            leg.end(Verdict::Unknown, false);
            Attempt::NotSent { reason }
        }
        TransportError::Silent { .. } => {
            leg.end(Verdict::Failed, false);
            Attempt::Silent
        }
        TransportError::Broken { .. } | TransportError::TooLarge { .. } => {
            leg.end(Verdict::Failed, false);
            Attempt::Lost { reason }
        }
    }
}
