//! Calls to one of several equal endpoints.

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
use redwingrill_transport::ReplyBody;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

/// The largest reply that is read: many values of up to a megabyte, in base64.
const REPLY_LIMIT_BYTES: usize = 64 << 20;

/// Where the platform is and how long it may take.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The equal endpoints; each call tries one.
    pub endpoints: Vec<SocketAddr>,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long a call may take.
    pub call_timeout: Duration,
}

impl PlatformOptions {
    /// Makes options with the usual timeouts.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
        }
    }
}

/// The endpoints, with the one that worked last.
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

    /// Posts a JSON message and reads the JSON answer.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, StoreError> {
        let response = self.send(json_request(path, question), Freshness::Any).await?;
        self.read_json(response).await
    }

    /// Gets a JSON document.
    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, StoreError> {
        let request = Request::builder().method(Method::GET).uri(path);
        let request = request.body(Bytes::new()).expect("a constant path is valid");
        let response = self.send(request, Freshness::Any).await?;
        self.read_json(response).await
    }

    /// Posts a JSON message on a new connection and returns the answer as it comes.
    pub(crate) async fn post_streaming<Q: Serialize>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<ReplyBody, StoreError> {
        let response = self.send(json_request(path, question), Freshness::New).await?;
        Ok(response.into_body())
    }

    async fn send(
        &self,
        mut request: Request<Bytes>,
        freshness: Freshness,
    ) -> Result<Response<ReplyBody>, StoreError> {
        let index = self.current.load(Ordering::Relaxed);
        let endpoints = &self.options.endpoints;
        let Some(&address) = endpoints.get(index % endpoints.len().max(1)) else {
            return Err(StoreError::Unavailable { reason: "no endpoint configured".to_owned() });
        };
        let host = address.to_string().parse().expect("an address is a valid header value");
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

    async fn read_json<A: DeserializeOwned>(
        &self,
        response: Response<ReplyBody>,
    ) -> Result<A, StoreError> {
        let wait = self.options.call_timeout;
        let body = response.into_body().read_all(REPLY_LIMIT_BYTES, wait).await;
        let body = body.map_err(|e| store_error(&e))?;
        serde_json::from_slice(&body).map_err(|e| StoreError::Malformed { reason: e.to_string() })
    }
}

fn json_request<Q: Serialize>(path: &str, question: &Q) -> Request<Bytes> {
    let body = serde_json::to_vec(question).expect("wire messages serialise");
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .expect("a constant path is valid")
}

fn check_status(response: Response<ReplyBody>) -> Result<Response<ReplyBody>, StoreError> {
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
        // The gateway answers so both before and after a proposal was sent to its peers, so a
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
