//! Client of the engines' completion API: start, resume and cancel.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use log::debug;

use super::AttemptStream;
use redwingrill_stream::Fault;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const REQUEST_ID: &str = "x-request-id";
const INCARNATION: &str = "x-engine-incarnation";
const WEIGHTS_VERSION: &str = "x-weights-version";
const EVENT_STREAM: &str = "text/event-stream";

/// The size limit of error bodies.
const ERROR_LIMIT_BYTES: usize = 64 << 10;

/// The timeout of a cancellation. A lost cancellation costs the engine a few seconds of work.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeouts of the steps of a call to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineTimeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From sending the request to the first token.
    pub first_token: Duration,
    /// Between two tokens, and until the response head of a resumed stream.
    pub token: Duration,
}

/// The engine and the attempt of a completion call.
#[derive(Clone, Copy, Debug)]
pub struct CompletionCall<'a> {
    /// The engine's address.
    pub address: SocketAddr,
    /// The identifier of the attempt.
    pub attempt_id: &'a str,
}

/// The error of a call that did not start.
#[derive(Debug)]
pub enum StartError {
    /// The call failed.
    Fault(Fault),
    /// The engine rejected the request as invalid.
    Rejected {
        /// The HTTP status.
        status: StatusCode,
        /// The engine's error message.
        message: String,
    },
}

impl From<Fault> for StartError {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

/// A client of engines. Clones share connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pool: Pool,
    timeouts: EngineTimeouts,
}

impl EngineClient {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Pool, timeouts: EngineTimeouts) -> Self {
        Self { pool, timeouts }
    }

    /// Returns the timeouts.
    pub fn timeouts(&self) -> &EngineTimeouts {
        &self.timeouts
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start(
        &self,
        call: CompletionCall<'_>,
        body: Bytes,
    ) -> Result<AttemptStream, StartError> {
        let request = request(call, Method::POST, COMPLETIONS_PATH)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::ACCEPT, EVENT_STREAM)
            .body(body);
        let request = request.expect("attempt identifiers are valid header values");
        let head = self.timeouts.first_token;
        let response = self.send(call, request, Freshness::Any, head).await?;
        // A refusal, too, may have been written for an earlier attempt on the connection.
        if header_text(response.headers(), REQUEST_ID).is_some_and(|id| id != call.attempt_id) {
            return Err(Fault::Crossed.into());
        }
        match response.status() {
            StatusCode::OK => Ok(attempt_stream(call, response)?),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(Fault::Refused.into())
            }
            status if status.is_client_error() => Err(self.rejected(response).await),
            _ => Err(Fault::Failed.into()),
        }
    }

    /// Resumes an attempt after the event with the number `last_event`, over a new connection.
    ///
    /// # Errors
    ///
    /// [`Fault::Refused`] if the engine no longer has the stream.
    pub async fn resume(
        &self,
        call: CompletionCall<'_>,
        last_event: u64,
    ) -> Result<AttemptStream, Fault> {
        let path = format!("{COMPLETIONS_PATH}/{}/events", call.attempt_id);
        let request = request(call, Method::GET, &path)
            .header(header::ACCEPT, EVENT_STREAM)
            .header("last-event-id", last_event)
            .body(Bytes::new());
        let request = request.expect("attempt identifiers are valid in paths and headers");
        let response = self.send(call, request, Freshness::New, self.timeouts.token).await?;
        match response.status() {
            StatusCode::OK => attempt_stream(call, response),
            status if status.is_server_error() => Err(Fault::Failed),
            _ => Err(Fault::Refused),
        }
    }

    /// Cancels an attempt. A failure is only logged: the engine ends a stream without a reader by
    /// itself.
    pub async fn cancel(&self, call: CompletionCall<'_>) {
        let path = format!("{COMPLETIONS_PATH}/{}", call.attempt_id);
        let request = request(call, Method::DELETE, &path).body(Bytes::new());
        let request = request.expect("attempt identifiers are valid in paths");
        if let Err(fault) = self.send(call, request, Freshness::Any, CANCEL_TIMEOUT).await {
            debug!("event=cancel_failed leg={} fault={fault:?}", call.attempt_id);
        }
    }

    async fn send(
        &self,
        call: CompletionCall<'_>,
        request: Request<Bytes>,
        freshness: Freshness,
        head: Duration,
    ) -> Result<Response<ResponseBody>, Fault> {
        let timeouts = Timeouts { connect: self.timeouts.connect, head };
        let sent = self.pool.send(call.address, request, freshness, &timeouts).await;
        sent.map_err(|e| fault_from_error(&e))
    }

    async fn rejected(&self, response: Response<ResponseBody>) -> StartError {
        let status = response.status();
        let body = response.into_body().read_all(ERROR_LIMIT_BYTES, self.timeouts.token).await;
        let message = body.ok().and_then(|body| error_message(&body)).unwrap_or_default();
        StartError::Rejected { status, message }
    }
}

/// Returns the fault that corresponds to a transport error.
pub(super) fn fault_from_error(error: &TransportError) -> Fault {
    match error {
        TransportError::Unreachable { .. }
        | TransportError::NoListener { .. }
        | TransportError::NotSent => Fault::Unreachable,
        TransportError::Broken { .. } => Fault::Broken,
        TransportError::Silent { .. } => Fault::Silent,
        TransportError::TooLarge { .. } | TransportError::BuffersFull => Fault::Garbage,
    }
}

fn request(call: CompletionCall<'_>, method: Method, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, call.address.to_string())
        .header(REQUEST_ID, call.attempt_id)
}

fn attempt_stream(
    call: CompletionCall<'_>,
    response: Response<ResponseBody>,
) -> Result<AttemptStream, Fault> {
    let headers = response.headers();
    if header_text(headers, REQUEST_ID) != Some(call.attempt_id) {
        return Err(Fault::Crossed);
    }
    let content_type = header_text(headers, header::CONTENT_TYPE.as_str());
    if !content_type.is_some_and(|value| value.starts_with(EVENT_STREAM)) {
        return Err(Fault::Garbage);
    }
    let weights_version = header_text(headers, WEIGHTS_VERSION).unwrap_or_default().to_owned();
    let incarnation = header_text(headers, INCARNATION).unwrap_or_default().to_owned();
    Ok(AttemptStream::new(response.into_body(), weights_version, incarnation))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn error_message(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("error")?.get("message")?.as_str().map(str::to_owned)
}
