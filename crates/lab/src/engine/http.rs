//! The engine's HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use serde_json::json;

use crate::engine::ChatRequest;
use crate::engine::core::Core;
use crate::engine::core::Refusal;
use crate::engine::orders::LoadOrder;
use crate::engine::orders::RoleOrder;
use crate::engine::reply_stream::CROSSED_ID;
use crate::engine::reply_stream::ReplyStream;
use crate::engine::stream_log::StreamLog;
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
use crate::net::read_json;
use crate::net::status_reply;
use crate::net::stream_body;

const COMPLETIONS: &str = "/v1/chat/completions";
const REQUEST_ID: &str = "x-request-id";
const LAST_EVENT_ID: &str = "last-event-id";

pub struct EngineHandler {
    core: Arc<Core>,
}

/// One request on its way to a reply.
struct Exchange {
    connection: Connection,
    request_id: String,
    last_event: u32,
    fault: Option<FaultRule>,
}

impl Handler for EngineHandler {
    fn accept(&self) -> Accept {
        if self.core.is_away() {
            return Accept::Close;
        }
        let Some(rule) = self.core.faults.claim_connection() else { return Accept::Serve };
        match rule.kind {
            FaultKind::Die => {
                self.core.crash(rule.delay_ms);
                Accept::Close
            }
            FaultKind::Cut | FaultKind::Refuse => Accept::Close,
            FaultKind::Silence => Accept::Silent,
            FaultKind::Garbage | FaultKind::Crossed => Accept::Garbage,
            FaultKind::Slow => Accept::Slow(Duration::from_millis(rule.delay_ms)),
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        match (&parts.method, path.as_str()) {
            (&Method::POST, COMPLETIONS) => {
                let exchange = self.exchange(&parts, header(&parts, REQUEST_ID));
                self.complete(exchange, body).await
            }
            (&Method::GET, "/load") => Ok(json_reply(StatusCode::OK, &self.core.reported_load())),
            (&Method::GET, "/cache/events") => Ok(self.cache_events(&query)),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::POST, "/orders/load") => Ok(self.order_load(body).await),
            (&Method::POST, "/orders/role") => Ok(self.order_role(body).await),
            (&Method::GET, _) => match held_request(&path, "/events") {
                Some(id) => self.resume(self.exchange(&parts, id)).await,
                None => Ok(status_reply(StatusCode::NOT_FOUND)),
            },
            (&Method::DELETE, _) => Ok(self.cancel(held_request(&path, ""))),
            _ => Ok(status_reply(StatusCode::NOT_FOUND)),
        }
    }
}

impl EngineHandler {
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    fn exchange(&self, parts: &http::request::Parts, request_id: &str) -> Exchange {
        let connection = parts.extensions.get::<Connection>().cloned().unwrap_or_default();
        Exchange {
            connection,
            request_id: request_id.to_owned(),
            last_event: header(parts, LAST_EVENT_ID).parse().unwrap_or(0),
            fault: self.core.faults.claim_request(),
        }
    }

    async fn complete(&self, exchange: Exchange, body: Incoming) -> Result<Response<Body>, Cut> {
        let request: ChatRequest = match read_json(body).await {
            Ok(request) => request,
            Err(reply) => return Ok(*reply),
        };
        if exchange.request_id.is_empty() {
            return Ok(error_reply(StatusCode::BAD_REQUEST, "missing_request_id"));
        }
        if exchange.fault.is_some_and(|rule| rule.kind == FaultKind::Refuse) {
            return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "refused"));
        }
        let log = match self.core.submit(&exchange.request_id, &request).await {
            Ok(log) => log,
            Err(refusal) => return Ok(refusal_reply(refusal)),
        };
        if request.stream {
            return self.stream(exchange, log).await;
        }
        self.whole(exchange, log).await
    }

    async fn resume(&self, exchange: Exchange) -> Result<Response<Body>, Cut> {
        match self.core.stream(&exchange.request_id) {
            Some(log) => self.stream(exchange, log).await,
            None => Ok(status_reply(StatusCode::NOT_FOUND)),
        }
    }

    async fn stream(&self, exchange: Exchange, log: Arc<StreamLog>) -> Result<Response<Body>, Cut> {
        if let Some(reply) = self.strike_headers(&exchange).await? {
            return Ok(reply);
        }
        let Exchange { connection, last_event, fault, .. } = exchange;
        let core = self.core.clone();
        let reply_stream =
            ReplyStream::new(core, log.clone(), connection, fault, last_event.saturating_add(1));
        let mut reply = Response::new(stream_body(reply_stream.chunks()));
        let content_type = HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
        self.identify(&mut reply, &log, fault);
        Ok(reply)
    }

    async fn whole(&self, exchange: Exchange, log: Arc<StreamLog>) -> Result<Response<Body>, Cut> {
        if let Some(reply) = self.strike_headers(&exchange).await? {
            return Ok(reply);
        }
        log.attach();
        let mut progress = log.follow();
        let is_done = progress.wait_for(|p| p.is_gone || log.is_finished()).await.is_ok();
        log.detach();
        if !is_done || !log.is_finished() {
            return Err(Cut);
        }
        if let Some(rule) = exchange.fault.filter(|rule| rule.step != Step::Headers) {
            // A whole reply has one step after its headers.
            self.strike(rule, &exchange.connection).await?;
        }
        let mut reply = json_reply(StatusCode::OK, &log.whole());
        self.identify(&mut reply, &log, exchange.fault);
        Ok(reply)
    }

    /// Lets a fault strike before the headers. Returns a reply that takes the place of the real one.
    async fn strike_headers(&self, exchange: &Exchange) -> Result<Option<Response<Body>>, Cut> {
        let Some(rule) = exchange.fault.filter(|rule| rule.step == Step::Headers) else {
            return Ok(None);
        };
        self.strike(rule, &exchange.connection).await?;
        let is_garbage = rule.kind == FaultKind::Garbage;
        Ok(is_garbage.then(|| Response::new(full_body("<html>not an answer"))))
    }

    /// Lets a fault strike between two parts of a reply. Those that change what the reply says are
    /// left to the caller.
    async fn strike(&self, rule: FaultRule, connection: &Connection) -> Result<(), Cut> {
        match rule.kind {
            FaultKind::Die => {
                self.core.crash(rule.delay_ms);
                Err(Cut)
            }
            FaultKind::Cut => Err(Cut),
            FaultKind::Silence => {
                connection.silence();
                std::future::pending().await
            }
            FaultKind::Slow => {
                tokio::time::sleep(Duration::from_millis(rule.delay_ms)).await;
                Ok(())
            }
            FaultKind::Garbage | FaultKind::Crossed | FaultKind::Refuse => Ok(()),
        }
    }

    fn identify(&self, reply: &mut Response<Body>, log: &StreamLog, fault: Option<FaultRule>) {
        let is_crossed =
            fault.is_some_and(|rule| rule.kind == FaultKind::Crossed && rule.step == Step::Headers);
        let shown_id = if is_crossed { CROSSED_ID } else { &log.head.request_id };
        let incarnation = self.core.identity().0;
        let headers = reply.headers_mut();
        headers.insert(REQUEST_ID, header_value(shown_id));
        headers.insert("x-engine-incarnation", header_value(&incarnation));
        headers.insert("x-weights-version", header_value(&log.head.weights_version));
    }

    fn cancel(&self, request_id: Option<&str>) -> Response<Body> {
        let was_held = request_id.is_some_and(|id| self.core.cancel(id));
        status_reply(if was_held { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND })
    }

    fn cache_events(&self, query: &str) -> Response<Body> {
        let after = query.strip_prefix("after=").and_then(|seq| seq.parse().ok()).unwrap_or(0);
        let (incarnation, events) = self.core.cache_events(after);
        json_reply(StatusCode::OK, &json!({"incarnation": incarnation, "events": events}))
    }

    fn models(&self) -> Response<Body> {
        let model = json!({"id": self.core.options.model, "object": "model"});
        json_reply(StatusCode::OK, &json!({"object": "list", "data": [model]}))
    }

    async fn order_load(&self, body: Incoming) -> Response<Body> {
        let order: LoadOrder = match read_json(body).await {
            Ok(order) => order,
            Err(reply) => return *reply,
        };
        if let Err(fenced) = self.core.admit_load(&order) {
            return json_reply(StatusCode::CONFLICT, &fenced);
        }
        self.core.load_weights(&order.weights_version).await;
        json_reply(StatusCode::OK, &json!({}))
    }

    async fn order_role(&self, body: Incoming) -> Response<Body> {
        let order: RoleOrder = match read_json(body).await {
            Ok(order) => order,
            Err(reply) => return *reply,
        };
        match self.core.change_role(order) {
            Ok(()) => json_reply(StatusCode::OK, &json!({})),
            Err(fenced) => json_reply(StatusCode::CONFLICT, &fenced),
        }
    }
}

fn header<'a>(parts: &'a http::request::Parts, name: &str) -> &'a str {
    parts.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("unprintable"))
}

fn held_request<'a>(path: &'a str, suffix: &str) -> Option<&'a str> {
    path.strip_prefix(COMPLETIONS)?.strip_prefix('/')?.strip_suffix(suffix)
}

fn refusal_reply(refusal: Refusal) -> Response<Body> {
    match refusal {
        Refusal::Leaving => error_reply(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
        Refusal::Loading => error_reply(StatusCode::SERVICE_UNAVAILABLE, "loading"),
        Refusal::UnknownModel => error_reply(StatusCode::NOT_FOUND, "model_not_found"),
        Refusal::Empty => error_reply(StatusCode::BAD_REQUEST, "empty_conversation"),
    }
}

fn error_reply(status: StatusCode, code: &str) -> Response<Body> {
    json_reply(status, &json!({"error": {"code": code, "message": code}}))
}
