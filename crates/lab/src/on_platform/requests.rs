//! Callers' requests, and the balancer's question.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::request::Builder;

use super::HOST;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// Begins a request to a route; one to the engines declares its prompt.
pub fn request(
    route: &str,
    id: &str,
    deadline: Duration,
    key: Option<&str>,
    is_stream: bool,
) -> Builder {
    let mut request = Request::builder()
        .method("POST")
        .uri(format!("/{route}/2f?q=1"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", deadline.as_millis().to_string());
    if let Some(key) = key {
        request = request.header("authorization", format!("Token {key}"));
    }
    if is_stream {
        request = request
            .header("x-model", "m")
            .header("x-token-count", "1460,80")
            .header("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    }
    request
}

/// Asks a node whether it is ready, as the balancer does.
pub async fn is_ready(pool: &Pool, readiness: SocketAddr, limit: Duration) -> bool {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = http::Uri::from_static("/-/ready");
    let timeouts = Timeouts { connect: limit, head: limit };
    let reply = pool.send(readiness, request, Freshness::New, &timeouts).await;
    reply.is_ok_and(|reply| reply.status() == StatusCode::OK)
}
