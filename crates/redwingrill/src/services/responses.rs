//! Responses to callers of services.

use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

use super::forward::UpstreamResponse;
use super::headers::REPLAYED_HEADER;
use super::headers::copy_headers;
use crate::Refusal;
use crate::http::Body;
use crate::http::full_body;
use redwingrill_codes::ResultCode;
use redwingrill_ledger::Outcome;
use redwingrill_ledger::OutcomeBody;

/// Creates the response to the caller from an upstream's response.
pub(super) fn response_from_upstream(upstream_response: UpstreamResponse) -> Response<Body> {
    let mut response = Response::new(full_body(upstream_response.body));
    *response.status_mut() = upstream_response.status;
    copy_headers(&upstream_response.headers, response.headers_mut());
    response
}

/// Creates the outcome that the ledger retains from an upstream's response.
pub(super) fn outcome_from_response(response: &UpstreamResponse) -> Outcome {
    let headers = response.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    Outcome::from_response(response.status.as_u16(), headers, response.body.clone())
}

/// Creates the response that replays a recorded outcome.
///
/// # Errors
///
/// Fails if the body was too long to be retained: a response without it would look complete.
pub(super) fn response_from_outcome(outcome: Outcome) -> Result<Response<Body>, Refusal> {
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
