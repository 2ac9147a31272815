//! Replies to callers of services.

use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

use super::forward::UpstreamReply;
use super::headers::REPLAYED_HEADER;
use super::headers::copy_headers;
use crate::Refusal;
use crate::http::Body;
use crate::http::full_body;
use redwingrill_codes::ResultCode;
use redwingrill_ledger::Outcome;
use redwingrill_ledger::OutcomeBody;

/// Makes the reply with what an upstream answered just now.
pub(super) fn response_of(reply: UpstreamReply) -> Response<Body> {
    let mut response = Response::new(full_body(reply.body));
    *response.status_mut() = reply.status;
    copy_headers(&reply.headers, response.headers_mut());
    response
}

/// Takes from a reply what the ledger retains.
pub(super) fn outcome_of(reply: &UpstreamReply) -> Outcome {
    let headers = reply.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    Outcome::from_response(reply.status.as_u16(), headers, reply.body.clone())
}

/// Makes the reply with an outcome that was recorded before.
///
/// # Errors
///
/// Fails if the body was too long to be retained: a reply without it would look whole.
pub(super) fn replay_of(outcome: Outcome) -> Result<Response<Body>, Refusal> {
    let body = match outcome.body {
        OutcomeBody::Whole(body) => body,
        OutcomeBody::TooLong { length_bytes } => {
            let detail = format!(
                "the call ran and was answered with status {}; its body of {length_bytes} bytes is not retained",
                outcome.status
            );
            return Err(Refusal::with_detail(ResultCode::OutcomeUnknown, detail));
        }
    };
    let mut response = Response::new(full_body(body));
    *response.status_mut() =
        StatusCode::from_u16(outcome.status).map_err(|_| ResultCode::Internal)?;
    let headers = response.headers_mut();
    for (name, value) in &outcome.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    Ok(response)
}
