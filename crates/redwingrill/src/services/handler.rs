//! Forwarding one call of a service.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::header;

use crate::Refusal;
use crate::completions::Caller;
use crate::http::Body;
use crate::http::REQUEST_ID_HEADER;
use crate::http::full_body;
use redwingrill_codes::ResultCode;
use redwingrill_config::Service;
use redwingrill_config::Upstream;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest reply of a service.
const REPLY_LIMIT_BYTES: usize = 4 << 20;

/// Headers that concern one connection only and are not passed on.
const HOP_HEADERS: &[header::HeaderName] = &[
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::HOST,
    header::AUTHORIZATION,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
];

/// One call of a service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// The service's name.
    pub service: &'a str,
    /// The method.
    pub method: &'a Method,
    /// The path below the service with its query, beginning with a slash.
    pub path: &'a str,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a Bytes,
}

/// Serves calls of services.
#[derive(Clone, Debug)]
pub struct Services {
    pool: Pool,
}

impl Services {
    /// Makes the handler.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Serves one call.
    ///
    /// # Errors
    ///
    /// The refusal, if there is no reply of an upstream to pass on.
    pub async fn serve(
        &self,
        caller: Caller<'_>,
        call: ServiceCall<'_>,
    ) -> Result<Response<Body>, Refusal> {
        let state = &caller.snapshot.state;
        let id = caller.snapshot.service(call.service).ok_or(ResultCode::ServiceUnknown)?;
        let service = state.services.get(id).ok_or(ResultCode::ServiceUnknown)?;
        if service.unrepeatable.iter().any(|set| set.matches(call.method.as_str(), call.path)) {
            return Err(ResultCode::LedgerUnavailable.into());
        }
        let upstreams = service.upstreams.iter().filter_map(|&id| state.upstreams.get(id));
        let mut last = Refusal::new(ResultCode::NoUpstream);
        for upstream in upstreams.filter(|upstream| !upstream.drained) {
            match self.forward(&caller, service, upstream, &call).await {
                Ok(response) => return Ok(response),
                Err(refusal) => last = refusal,
            }
        }
        Err(last)
    }

    async fn forward(
        &self,
        caller: &Caller<'_>,
        service: &Service,
        upstream: &Upstream,
        call: &ServiceCall<'_>,
    ) -> Result<Response<Body>, Refusal> {
        let request_id = caller.request_id.to_string();
        let mut request = Request::new(call.body.clone());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.path.parse().map_err(|_| ResultCode::BadRequest)?;
        copy_headers(call.headers, request.headers_mut());
        let headers = request.headers_mut();
        headers.insert(header::HOST, header_value(&upstream.address.to_string())?);
        headers.insert(REQUEST_ID_HEADER, header_value(&request_id)?);
        let head = Duration::from_millis(service.timeout_ms.into());
        let timeouts = Timeouts { connect: CONNECT_TIMEOUT, head };
        let sent = self.pool.send(upstream.address, request, Freshness::Any, &timeouts).await;
        let reply = sent.map_err(|e| refusal_of(&e))?;
        let tied = reply.headers().get(REQUEST_ID_HEADER).map(|value| value.as_bytes());
        if tied != Some(request_id.as_bytes()) {
            return Err(ResultCode::ReplyCrossed.into());
        }
        let (parts, body) = reply.into_parts();
        let body = body.read_all(REPLY_LIMIT_BYTES, head).await.map_err(|e| refusal_of(&e))?;
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        copy_headers(&parts.headers, response.headers_mut());
        Ok(response)
    }
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !HOP_HEADERS.contains(name) {
            to.append(name, value.clone());
        }
    }
}

fn header_value(text: &str) -> Result<http::HeaderValue, Refusal> {
    text.parse().map_err(|_| ResultCode::Internal.into())
}

fn refusal_of(error: &TransportError) -> Refusal {
    let code = match error {
        TransportError::Unreachable { .. } | TransportError::NotSent => {
            ResultCode::UpstreamUnreachable
        }
        TransportError::Broken { .. } => ResultCode::UpstreamFailed,
        TransportError::Silent { .. } => ResultCode::UpstreamSilent,
        TransportError::TooLarge { .. } => ResultCode::UpstreamGarbage,
    };
    Refusal::with_detail(code, error.to_string())
}
