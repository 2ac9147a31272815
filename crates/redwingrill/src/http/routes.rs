//! Routes callers' requests to their handlers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use log::info;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Body;
use super::ConnectionOwner;
use super::Handler;
use super::OpenRequests;
use super::REQUEST_ID_HEADER;
use super::RequestId;
use super::bearer_key;
use super::error_response;
use super::json_response;
use super::read_body;
use crate::Refusal;
use crate::completions::Caller;
use crate::completions::Completions;
use crate::node::Phase;
use crate::services::ServiceCall;
use crate::services::Services;
use crate::telemetry::Metrics;
use redwingrill_codes::ResultCode;
use redwingrill_config::Snapshot;
use redwingrill_entity::AccountId;
use redwingrill_settings::LimitSettings;

pub(crate) const COMPLETIONS: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";
pub(crate) const SERVICES: &str = "/services/";

/// Serves callers' requests.
#[derive(Clone, Debug)]
pub struct Routes {
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Snapshot>>,
    /// The lifecycle phase of the node.
    pub phase: watch::Receiver<Phase>,
    /// Limits on requests.
    pub limits: Arc<LimitSettings>,
    /// Serves completions.
    pub completions: Completions,
    /// Serves service calls.
    pub services: Services,
    /// The requests in flight.
    pub open: OpenRequests,
    /// The metrics to which counts and durations are reported.
    pub metrics: Metrics,
}

/// The kinds of calls, as named in logs and metrics.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Call<'a> {
    Completions,
    Models,
    Service { name: &'a str, path: &'a str },
    Unknown,
}

impl<'a> Call<'a> {
    fn of(path_and_query: &'a str) -> Self {
        let path = path_and_query.split('?').next().unwrap_or_default();
        match path {
            COMPLETIONS => Self::Completions,
            MODELS => Self::Models,
            _ => Self::service(path_and_query).unwrap_or(Self::Unknown),
        }
    }

    fn service(path_and_query: &'a str) -> Option<Self> {
        let rest = path_and_query.strip_prefix(SERVICES)?;
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(end);
        Some(Self::Service { name, path })
    }

    fn name(self) -> &'static str {
        match self {
            Self::Completions => "completions",
            Self::Models => "models",
            Self::Service { .. } => "service",
            Self::Unknown => "unknown",
        }
    }
}

impl Handler for Routes {
    async fn handle(
        &self,
        request: Request<Incoming>,
        owner: Arc<ConnectionOwner>,
    ) -> Response<Body> {
        let arrived = Instant::now();
        let request_id = RequestId::random();
        let target =
            request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let call = Call::of(&target);
        let open = self.open.begin(request_id, call.name());
        let served = self.serve(request, call, request_id, &owner).await;
        let code = served.as_ref().map_or_else(|refusal| refusal.code, |_| ResultCode::Ok);
        let mut response = served.unwrap_or_else(|refusal| error_response(&refusal, request_id));
        info!(
            "event=request_answered request_id={request_id} call={} status={} code={} took_ms={}",
            call.name(),
            response.status().as_u16(),
            code.number(),
            arrived.elapsed().as_millis(),
        );
        self.metrics.request_ended(call.name(), code, arrived.elapsed());
        let headers = response.headers_mut();
        let id =
            request_id.to_string().parse().expect("request identifiers are valid header values");
        headers.insert(REQUEST_ID_HEADER, id);
        if *self.phase.borrow() != Phase::Serving {
            // The caller must connect to another node for its next request.
            headers.insert(header::CONNECTION, http::HeaderValue::from_static("close"));
        }
        response.map(|body| open.hold_until_end(body))
    }
}

impl Routes {
    async fn serve(
        &self,
        request: Request<Incoming>,
        call: Call<'_>,
        request_id: RequestId,
        owner: &ConnectionOwner,
    ) -> Result<Response<Body>, Refusal> {
        let (parts, body) = request.into_parts();
        self.check_headers(&parts.headers)?;
        let snapshot = self.configuration.borrow().clone();
        if snapshot.generation.0 == 0 {
            return Err(Refusal::new(ResultCode::NotReady).retry_after(1_000));
        }
        let account = authenticate(&snapshot, &parts.headers, owner)?;
        let caller = Caller { snapshot: &snapshot, account, request_id };
        match call {
            Call::Completions => {
                check_method(&parts.method, &Method::POST)?;
                let body = self.read(body).await?;
                self.completions.serve(caller, &parts.headers, &body).await
            }
            Call::Models => {
                check_method(&parts.method, &Method::GET)?;
                Ok(models(&snapshot))
            }
            Call::Service { name, path } => {
                let body = self.read(body).await?;
                self.services.serve(caller, service_call(name, path, &parts, &body)).await
            }
            Call::Unknown => Err(ResultCode::RouteUnknown.into()),
        }
    }

    fn check_headers(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let length = |(name, value): (&header::HeaderName, &http::HeaderValue)| {
            name.as_str().len() + value.len()
        };
        let header_bytes: usize = headers.iter().map(length).sum();
        if header_bytes > self.limits.header_bytes {
            return Err(ResultCode::HeadersTooLarge.into());
        }
        Ok(())
    }

    async fn read(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = Duration::from_millis(self.limits.request_timeout_ms);
        read_body(body, self.limits.body_bytes, limit).await
    }
}

fn authenticate(
    snapshot: &Snapshot,
    headers: &HeaderMap,
    owner: &ConnectionOwner,
) -> Result<AccountId, Refusal> {
    let key = bearer_key(headers)?;
    let id = snapshot.account_of_key(key).ok_or(ResultCode::KeyUnknown)?;
    let account = snapshot.state.accounts.get(id).ok_or(ResultCode::KeyUnknown)?;
    if !owner.claim(id, account.connections_limit) {
        return Err(Refusal::new(ResultCode::TooManyConnections).retry_after(1_000));
    }
    Ok(id)
}

fn check_method(method: &Method, allowed: &Method) -> Result<(), Refusal> {
    if method == allowed { Ok(()) } else { Err(ResultCode::MethodUnknown.into()) }
}

fn service_call<'a>(
    service: &'a str,
    path: &'a str,
    parts: &'a Parts,
    body: &'a Bytes,
) -> ServiceCall<'a> {
    let path = if path.starts_with('/') { path } else { "/" };
    ServiceCall { service, method: &parts.method, path, headers: &parts.headers, body }
}

fn models(snapshot: &Snapshot) -> Response<Body> {
    let models = snapshot.state.models.values().map(|model| {
        json!({"id": model.name, "object": "model", "created": 0, "owned_by": "redwingrill"})
    });
    let list = json!({"object": "list", "data": models.collect::<Vec<_>>()});
    json_response(StatusCode::OK, list.to_string())
}
