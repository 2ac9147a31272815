//! Calls to one of several equivalent endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;
use serde::de::DeserializeOwned;

use redwingrill_ports::StoreError;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ResponseBody;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

/// The limit of a response body: many values of up to a megabyte each, in base64.
const RESPONSE_LIMIT_BYTES: usize = 64 << 20;

/// The endpoints and timeouts of the platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The equivalent endpoints. Each call uses one of them.
    pub endpoints: Vec<SocketAddr>,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The timeout of a call.
    pub call_timeout: Duration,
}

impl PlatformOptions {
    /// Creates options with the default timeouts.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
        }
    }
}

/// The endpoints, and the index of the one in use. A failed call moves on to the next.
#[derive(Clone, Debug)]
pub(crate) struct Endpoints {
    options: Arc<PlatformOptions>,
    pool: Pool,
    current: Arc<AtomicUsize>,
}

impl Endpoints {
    pub(crate) fn new(options: PlatformOptions, pool: Pool) -> Self {
        Self { options: Arc::new(options), pool, current: Arc::default() }
    }

    pub(crate) fn call_timeout(&self) -> Duration {
        self.options.call_timeout
    }

    /// Posts a JSON message and reads the JSON response.
    pub(crate) async fn post<M: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<R, StoreError> {
        let response = self.send(json_request(path, message), Freshness::Any).await?;
        self.read_json(response).await
    }

    /// Gets a JSON document.
    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, StoreError> {
        let request = Request::builder().method(Method::GET).uri(path);
        let request = request.body(Bytes::new()).expect("a constant path is valid");
        let response = self.send(request, Freshness::Any).await?;
        self.read_json(response).await
    }

    /// Posts a JSON message over a new connection and returns the response body as a stream.
    pub(crate) async fn post_streaming<M: Serialize>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<ResponseBody, StoreError> {
        let response = self.send(json_request(path, message), Freshness::New).await?;
        Ok(response.into_body())
    }

    async fn send(
        &self,
        mut request: Request<Bytes>,
        freshness: Freshness,
    ) -> Result<Response<ResponseBody>, StoreError> {
        let index = self.current.load(Ordering::Relaxed);
        let endpoints = &self.options.endpoints;
        let Some(&address) = endpoints.get(index % endpoints.len().max(1)) else {
            return Err(StoreError::Unavailable { reason: "no endpoint configured".to_owned() });
        };
        let host = address.to_string().parse().expect("a socket address is a valid header value");
        request.headers_mut().insert(header::HOST, host);
        let timeouts =
            Timeouts { connect: self.options.connect_timeout, head: self.options.call_timeout };
        match self.pool.send(address, request, freshness, &timeouts).await {
            Ok(response) => check_status(response),
            Err(e) => {
                self.current.store(index.wrapping_add(1), Ordering::Relaxed);
                Err(store_error(&e))
            }
        }
    }

    async fn read_json<R: DeserializeOwned>(
        &self,
        response: Response<ResponseBody>,
    ) -> Result<R, StoreError> {
        let wait = self.options.call_timeout;
        let body = response.into_body().read_all(RESPONSE_LIMIT_BYTES, wait).await;
        let body = body.map_err(|e| store_error(&e))?;
        serde_json::from_slice(&body).map_err(|e| StoreError::Malformed { reason: e.to_string() })
    }
}

fn json_request<M: Serialize>(path: &str, message: &M) -> Request<Bytes> {
    let body = serde_json::to_vec(message).expect("wire messages always serialize");
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .expect("a constant path is valid")
}

fn check_status(response: Response<ResponseBody>) -> Result<Response<ResponseBody>, StoreError> {
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
        // The gateway returns these both before and after it proposed a write to its peers, so the
        // write may still take effect.
        status => Err(StoreError::ResponseLost { reason: format!("status {status}") }),
    }
}

pub(crate) fn store_error(error: &TransportError) -> StoreError {
    let reason = error.to_string();
    if error.may_have_been_received() {
        StoreError::ResponseLost { reason }
    } else {
        StoreError::Unavailable { reason }
    }
}
