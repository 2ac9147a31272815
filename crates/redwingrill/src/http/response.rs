//! Responses with a result code or a JSON document.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::Body;
use super::RequestId;
use super::full_body;
use crate::Refusal;
use redwingrill_codes::ErrorBody;
use redwingrill_codes::ResultCode;

/// The response header with the identifier of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Creates a response with a JSON document.
pub fn json_response(status: StatusCode, json: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(json));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    response
}

/// Creates the response to a refused request.
pub fn error_response(refusal: &Refusal, request_id: RequestId) -> Response<Body> {
    let status = refusal.code.info().http_status;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = ErrorBody::new(refusal.code, &refusal.detail, &request_id.to_string());
    let mut response = json_response(status, body.to_json());
    let headers = response.headers_mut();
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
    }
    if refusal.code == ResultCode::KeyMissing || refusal.code == ResultCode::KeyUnknown {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
