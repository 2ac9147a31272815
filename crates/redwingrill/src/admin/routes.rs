//! Routes of the administration listener.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::Refusal;
use crate::http::Body;
use crate::http::ConnectionOwner;
use crate::http::Handler;
use crate::http::RequestId;
use crate::http::error_response;
use crate::http::json_response;
use crate::node::Inspector;
use crate::node::Phase;
use redwingrill_codes::ResultCode;

/// Serves administration requests of operators and health checks of the platform's load balancer.
#[derive(Clone, Debug)]
pub struct AdminRoutes {
    /// Reads the state of the node and starts its drain.
    pub inspector: Inspector,
}

impl Handler for AdminRoutes {
    async fn handle(
        &self,
        request: Request<Incoming>,
        _owner: Arc<ConnectionOwner>,
    ) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => json_response(StatusCode::OK, "{}"),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/status") => {
                json_response(StatusCode::OK, self.inspector.status().to_string())
            }
            (&Method::GET, "/dump") => {
                json_response(StatusCode::OK, self.inspector.dump().await.to_string())
            }
            (&Method::GET, "/explain") => self.explain(request.uri().query()).await,
            (&Method::POST, "/drain") => {
                self.inspector.drain();
                json_response(StatusCode::ACCEPTED, "{}")
            }
            _ => error_response(&Refusal::new(ResultCode::RouteUnknown), RequestId::random()),
        }
    }
}

impl AdminRoutes {
    async fn explain(&self, query: Option<&str>) -> Response<Body> {
        match self.inspector.explain(query.unwrap_or_default()).await {
            Ok(answer) => json_response(StatusCode::OK, json!(answer).to_string()),
            Err(fault) => {
                let status = StatusCode::from_u16(fault.code().info().http_status);
                let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                json_response(status, fault.to_json())
            }
        }
    }

    fn ready(&self) -> Response<Body> {
        let ready = self.inspector.phase() == Phase::Serving && self.inspector.is_configured();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_response(status, json!({"ready": ready}).to_string())
    }
}
