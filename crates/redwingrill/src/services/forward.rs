//! Forwarding of a call to one upstream of a service.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use snafu::Snafu;

use super::headers::CLIENT_ACCOUNT_HEADER;
use super::headers::copy_headers;
use super::headers::header_value;
use crate::Refusal;
use crate::http::REQUEST_ID_HEADER;
use crate::http::RequestId;
use redwingrill_codes::ResultCode;
use redwingrill_config::Upstream;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The size limit of a service's response body.
const RESPONSE_LIMIT_BYTES: usize = 4 << 20;

/// A call as it is sent to each upstream of the service.
#[derive(Clone, Debug)]
pub(super) struct OutgoingCall {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    request_id: String,
    limit: Duration,
}

/// A complete response of an upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The error of a call without a usable response.
#[derive(Debug, Snafu)]
pub(super) enum ForwardError {
    /// The call failed.
    #[snafu(display("{source}"), context(false))]
    Transport { source: TransportError },
    /// The response has the identifier of another request.
    #[snafu(display("the reply belongs to another request"))]
    Mismatched,
}

impl ForwardError {
    /// Returns whether the upstream may have run the call.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Transport { source } => source.may_have_been_received(),
            Self::Mismatched => true,
        }
    }

    /// Returns the result code for the caller of a repeatable call.
    pub(super) fn code(&self) -> ResultCode {
        match self {
            Self::Mismatched => ResultCode::ReplyCrossed,
            Self::Transport { source } => match source {
                TransportError::Unreachable { .. }
                | TransportError::NoListener { .. }
                | TransportError::NotSent => ResultCode::UpstreamUnreachable,
                TransportError::Broken { .. } => ResultCode::UpstreamFailed,
                TransportError::Silent { .. } => ResultCode::UpstreamSilent,
                TransportError::TooLarge { .. } | TransportError::BuffersFull => {
                    ResultCode::UpstreamGarbage
                }
            },
        }
    }

    /// Returns the refusal of a repeatable call.
    pub(super) fn refusal(&self) -> Refusal {
        Refusal::with_detail(self.code(), self.to_string())
    }
}

impl OutgoingCall {
    /// Creates the outgoing call from the caller's call.
    pub(super) fn new(
        call: &super::ServiceCall<'_>,
        account: &str,
        request_id: RequestId,
        limit: Duration,
    ) -> Result<Self, Refusal> {
        let uri = call.path.parse().map_err(|_| ResultCode::BadRequest)?;
        let request_id = request_id.to_string();
        let mut headers = HeaderMap::new();
        copy_headers(call.headers, &mut headers);
        headers.insert(REQUEST_ID_HEADER, header_value(&request_id)?);
        headers.insert(CLIENT_ACCOUNT_HEADER, header_value(account)?);
        let (method, body) = (call.method.clone(), call.body.clone());
        Ok(Self { method, uri, headers, body, request_id, limit })
    }

    /// Sets a header.
    pub(super) fn set(&mut self, name: &'static str, value: &str) -> Result<(), Refusal> {
        self.headers.insert(name, header_value(value)?);
        Ok(())
    }

    /// Sends the call to one upstream and reads the complete response.
    pub(super) async fn send(
        &self,
        pool: &Pool,
        upstream: &Upstream,
        freshness: Freshness,
    ) -> Result<UpstreamResponse, ForwardError> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Ok(host) = upstream.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        let timeouts = Timeouts { connect: CONNECT_TIMEOUT, head: self.limit };
        let response = pool.send(upstream.address, request, freshness, &timeouts).await?;
        let response_id = response.headers().get(REQUEST_ID_HEADER).map(|value| value.as_bytes());
        if response_id != Some(self.request_id.as_bytes()) {
            return Err(ForwardError::Mismatched);
        }
        let (parts, body) = response.into_parts();
        let body = body.read_all(RESPONSE_LIMIT_BYTES, self.limit).await?;
        Ok(UpstreamResponse { status: parts.status, headers: parts.headers, body })
    }
}
