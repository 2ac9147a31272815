//! The administration address of the engine stand-in.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::engine::core::Core;
use crate::faults::FaultRule;
use crate::net::Body;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::json_reply;
use crate::net::read_json;
use crate::net::status_reply;

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct CrashBody {
    away_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct LeavingBody {
    leaving: bool,
}

pub struct Admin {
    core: Arc<Core>,
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        Ok(self.route(request).await.unwrap_or_else(|reply| *reply))
    }
}

impl Admin {
    pub fn new(core: Arc<Core>) -> Self {
        Self { core }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/faults") => {
                let rules: Vec<FaultRule> = read_json(body).await?;
                self.core.faults.set(rules);
            }
            (&Method::GET, "/faults") => {
                return Ok(json_reply(StatusCode::OK, &self.core.faults.rules()));
            }
            (&Method::POST, "/crash") => {
                let crash: CrashBody = read_json(body).await?;
                self.core.crash(crash.away_ms);
            }
            (&Method::POST, "/leaving") => {
                let body: LeavingBody = read_json(body).await?;
                self.core.set_leaving(body.leaving);
            }
            (&Method::POST, "/connections/silence") => self.core.connections.silence_all(),
            (&Method::POST, "/connections/close") => self.core.connections.close_all(),
            (&Method::GET, "/totals") => {
                return Ok(json_reply(StatusCode::OK, &self.core.totals()));
            }
            _ => return Ok(status_reply(StatusCode::NOT_FOUND)),
        }
        Ok(status_reply(StatusCode::NO_CONTENT))
    }
}
