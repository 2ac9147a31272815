//! The administration address of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;

use super::instances::LaggingList;
use super::instances::ListedInstance;
use crate::net::Body;
use crate::net::Connections;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::json_reply;
use crate::net::read_json;
use crate::net::status_reply;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;

/// Faults as `POST /faults` sets them; what is left out is switched off.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultsBody {
    down: bool,
    delay_ms: u64,
    frozen: bool,
    silent_watches: bool,
    write: WriteFaultBody,
    calls_per_s_limit: u32,
    instances_down: bool,
    /// Makes all connections that are open now silent for good.
    silence_connections: bool,
    /// Closes all connections that are open now.
    close_connections: bool,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WriteFaultBody {
    #[default]
    None,
    LoseAnswer,
    LoseCall,
}

impl From<FaultsBody> for Faults {
    fn from(body: FaultsBody) -> Self {
        Self {
            down: body.down,
            delay: Duration::from_millis(body.delay_ms),
            frozen: body.frozen,
            silent_watches: body.silent_watches,
            write: match body.write {
                WriteFaultBody::None => WriteFault::None,
                WriteFaultBody::LoseAnswer => WriteFault::LoseResponse,
                WriteFaultBody::LoseCall => WriteFault::LoseRequest,
            },
            calls_per_s_limit: body.calls_per_s_limit,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct LagBody {
    lag_ms: u64,
}

pub(super) struct Admin {
    store: MemoryStore,
    instances: LaggingList,
    connections: Connections,
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        Ok(self.route(request).await.unwrap_or_else(|reply| *reply))
    }
}

impl Admin {
    pub(super) fn new(
        store: MemoryStore,
        instances: LaggingList,
        connections: Connections,
    ) -> Self {
        Self { store, instances, connections }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/faults") => self.set_faults(read_json(body).await?),
            (&Method::PUT, "/instances") => {
                let list: Vec<ListedInstance> = read_json(body).await?;
                self.instances.set(list);
            }
            (&Method::POST, "/instances/lag") => {
                let lag: LagBody = read_json(body).await?;
                self.instances.set_lag(lag.lag_ms);
            }
            (&Method::POST, "/save") => self.store.save(),
            (&Method::POST, "/restore") => self.store.restore(),
            (&Method::POST, "/compact") => self.store.compact(),
            (&Method::GET, "/counts") => return Ok(self.counts()),
            _ => return Ok(status_reply(StatusCode::NOT_FOUND)),
        }
        Ok(status_reply(StatusCode::NO_CONTENT))
    }

    fn set_faults(&self, body: FaultsBody) {
        self.instances.set_down(body.instances_down);
        if body.silence_connections {
            self.connections.silence_all();
        }
        if body.close_connections {
            self.connections.close_all();
        }
        self.store.set_faults(body.into());
    }

    fn counts(&self) -> Response<Body> {
        let counts = self.store.counts();
        let body = serde_json::json!({
            "reads": counts.reads,
            "writes": counts.writes,
            "watches": counts.watches,
            "leases": counts.leases,
            "refused": counts.refused,
            "total": counts.total(),
            "revision": self.store.revision().0,
            "connections": self.connections.count(),
        });
        json_reply(StatusCode::OK, &body)
    }
}
