//! Responses that the router generates.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use snafu::Snafu;

use super::whole_answer::WholeAnswer;
use redwingrill_codes::ErrorBody;
use redwingrill_codes::Refusal;
use redwingrill_routing::HeadCodec;

/// The error of a stream that ends early; it closes the connection so that the caller notices.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("the stream was aborted"))]
pub struct StreamAborted;

/// The body of a response.
pub type Body = BoxBody<Bytes, StreamAborted>;

/// Returns a body with the given data.
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|never| match never {}).boxed()
}

/// Returns the body of an upstream's answer that was buffered to its end.
pub(super) fn relayed_body(data: Bytes, _evidence: WholeAnswer) -> Body {
    full_body(data)
}

/// Turns the head of an upstream's response into the head for the caller. What concerns only the
/// connection to the upstream goes, its version and framing too: they would decide how the
/// response to the caller ends.
pub(super) fn relayed_head(mut head: Parts, codec: &dyn HeadCodec) -> Parts {
    codec.sanitize_response(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = Version::HTTP_11;
    head
}

/// Returns the response of a refusal.
pub(super) fn refusal_response(refusal: &Refusal, request_id: &str) -> Response<Body> {
    let body = ErrorBody::new(refusal.code, &refusal.detail, request_id);
    let mut response = Response::new(full_body(body.to_json()));
    let status = StatusCode::from_u16(refusal.code.info().http_status);
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from_str(&seconds).expect("digits"));
    }
    response
}
