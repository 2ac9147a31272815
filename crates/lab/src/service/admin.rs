//! The administration address of the service stand-in.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::Shared;
use crate::faults::FaultRule;
use crate::net::Body;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::json_reply;
use crate::net::read_json;
use crate::net::status_reply;

pub(super) struct Admin {
    shared: Arc<Shared>,
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        Ok(self.route(request).await.unwrap_or_else(|reply| *reply))
    }
}

impl Admin {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/runs") => {
                return Ok(json_reply(StatusCode::OK, &self.shared.runs.list()));
            }
            (&Method::POST, "/faults") => {
                let rules: Vec<FaultRule> = read_json(body).await?;
                self.shared.faults.set(rules);
            }
            (&Method::POST, "/connections/silence") => self.shared.connections.silence_all(),
            (&Method::POST, "/connections/close") => self.shared.connections.close_all(),
            _ => return Ok(status_reply(StatusCode::NOT_FOUND)),
        }
        Ok(status_reply(StatusCode::NO_CONTENT))
    }
}
