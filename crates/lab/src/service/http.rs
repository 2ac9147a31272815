//! The service's HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::Shared;
use super::runs::Arrival;
use crate::faults::FaultKind;
use crate::faults::FaultRule;
use crate::faults::Step;
use crate::net::Accept;
use crate::net::Body;
use crate::net::Connection;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::full_body;
use crate::net::json_reply;
use crate::net::status_reply;

const REQUEST_ID: &str = "x-request-id";
const FENCING_NUMBER: &str = "x-fencing-number";

pub(super) struct ServiceHandler {
    shared: Arc<Shared>,
}

impl Handler for ServiceHandler {
    fn accept(&self) -> Accept {
        let Some(rule) = self.shared.faults.claim_connection() else { return Accept::Serve };
        match rule.kind {
            FaultKind::Silence => Accept::Silent,
            FaultKind::Garbage | FaultKind::Crossed => Accept::Garbage,
            FaultKind::Slow => Accept::Slow(Duration::from_millis(rule.delay_ms)),
            FaultKind::Die | FaultKind::Cut | FaultKind::Refuse => Accept::Close,
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let fault = self.shared.faults.claim_request();
        let (parts, body) = request.into_parts();
        let connection = parts.extensions.get::<Connection>().cloned().unwrap_or_default();
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        if let Some(reply) = self.strike(fault, Step::Headers, &connection).await? {
            return Ok(reply);
        }
        let mut reply = self.run(&parts, &body);
        tokio::time::sleep(Duration::from_millis(self.shared.options.delay_ms)).await;
        if let Some(reply) = self.strike(fault, Step::Last, &connection).await? {
            return Ok(reply);
        }
        let is_crossed = fault.is_some_and(|rule| rule.kind == FaultKind::Crossed);
        if let Some(id) = parts.headers.get(REQUEST_ID) {
            let crossed = HeaderValue::from_static("crossed");
            reply.headers_mut().insert(REQUEST_ID, if is_crossed { crossed } else { id.clone() });
        }
        Ok(reply)
    }
}

impl ServiceHandler {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Lets a fault strike before the call runs or before its reply.
    async fn strike(
        &self,
        fault: Option<FaultRule>,
        step: Step,
        connection: &Connection,
    ) -> Result<Option<Response<Body>>, Cut> {
        let Some(rule) = fault.filter(|rule| rule.step == step) else { return Ok(None) };
        match rule.kind {
            FaultKind::Die => {
                self.shared.connections.close_all();
                Err(Cut)
            }
            FaultKind::Cut => Err(Cut),
            FaultKind::Silence => {
                connection.silence();
                std::future::pending().await
            }
            FaultKind::Slow => {
                tokio::time::sleep(Duration::from_millis(rule.delay_ms)).await;
                Ok(None)
            }
            FaultKind::Garbage => Ok(Some(Response::new(full_body("\u{fffd}garbage")))),
            FaultKind::Crossed => Ok(None),
            FaultKind::Refuse => Ok(Some(status_reply(StatusCode::SERVICE_UNAVAILABLE))),
        }
    }

    fn run(&self, parts: &http::request::Parts, body: &[u8]) -> Response<Body> {
        let key = text(&parts.headers, "idempotency-key");
        if key.is_empty() {
            return self.outcome(parts, body, 0);
        }
        let account = text(&parts.headers, "x-client-account");
        let number = text(&parts.headers, FENCING_NUMBER).parse().unwrap_or(0);
        match self.shared.runs.arrive(account, key, number) {
            Arrival::Ran(run) | Arrival::Replayed(run) => self.outcome(parts, body, run),
            Arrival::Fenced(highest) => {
                let mut reply = status_reply(StatusCode::CONFLICT);
                reply.headers_mut().insert(FENCING_NUMBER, HeaderValue::from(highest));
                reply
            }
        }
    }

    fn outcome(&self, parts: &http::request::Parts, body: &[u8], run: u64) -> Response<Body> {
        let outcome = json!({
            "service": self.shared.options.name,
            "method": parts.method.as_str(),
            "path": parts.uri.path_and_query().map_or("/", |path| path.as_str()),
            "key": text(&parts.headers, "idempotency-key"),
            "run": run,
            "body_bytes": body.len(),
            "body_hash": format!("{:016x}", xxh3_64(body)),
        });
        json_reply(StatusCode::OK, &outcome)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
