//! Routing of service calls.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Response;
use tokio_util::task::TaskTracker;

use super::forward::OutgoingCall;
use super::orders::Orders;
use super::responses::response_from_upstream;
use super::targets::TargetStanding;
use super::targets::Targets;
use crate::Refusal;
use crate::completions::Caller;
use crate::http::Body;
use crate::upstream::LeavingUpstreams;
use redwingrill_codes::Ran;
use redwingrill_codes::ResultCode;
use redwingrill_config::Service;
use redwingrill_config::Snapshot;
use redwingrill_entity::UpstreamId;
use redwingrill_ledger::task::Ledger;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;

/// A call of a service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// The service's name.
    pub service: &'a str,
    /// The method.
    pub method: &'a Method,
    /// The path below the service, with a leading slash and the query.
    pub path: &'a str,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a Bytes,
}

/// Serves service calls.
#[derive(Clone, Debug)]
pub struct Services {
    pool: Pool,
    targets: Targets,
    orders: Orders,
}

impl Services {
    /// Creates the handler. `tasks` tracks orders, which may outlive their callers.
    pub fn new(pool: Pool, leaving: LeavingUpstreams, ledger: Ledger, tasks: TaskTracker) -> Self {
        let targets = Targets::new(leaving);
        let orders = Orders { pool: pool.clone(), targets: targets.clone(), ledger, tasks };
        Self { pool, targets, orders }
    }

    /// Returns when each upstream of a service is tried for a call that may be repeated.
    pub fn standings(
        &self,
        snapshot: &Snapshot,
        service: &Service,
    ) -> Vec<(UpstreamId, TargetStanding)> {
        self.targets.standings(snapshot, service)
    }

    /// Serves one call.
    ///
    /// # Errors
    ///
    /// The refusal, if no upstream responded.
    pub async fn serve(
        &self,
        caller: Caller<'_>,
        call: ServiceCall<'_>,
    ) -> Result<Response<Body>, Refusal> {
        let state = &caller.snapshot.state;
        let id = caller.snapshot.service(call.service).ok_or(ResultCode::ServiceUnknown)?;
        let service = state.services.get(id).ok_or(ResultCode::ServiceUnknown)?;
        if service.unrepeatable.iter().any(|set| set.matches(call.method.as_str(), call.path)) {
            return self.orders.serve(&caller, service, &call).await;
        }
        let account = state.accounts.get(caller.account).ok_or(ResultCode::KeyUnknown)?;
        let limit = Duration::from_millis(service.timeout_ms.into());
        let outgoing_call = OutgoingCall::new(&call, &account.name, caller.request_id, limit)?;
        let mut targets = self.targets.candidates(caller.snapshot, service, rand::random());
        self.targets.healthy_first(&mut targets);
        let mut refusal = Refusal::new(ResultCode::NoUpstream);
        for target in &targets {
            match outgoing_call.send(&self.pool, &target.upstream, Freshness::Any).await {
                Ok(response) => return Ok(response_from_upstream(response)),
                Err(error) => {
                    self.targets.record_failure(target.id);
                    // A failure after which the call may have run takes precedence over later ones.
                    if refusal.ran() == Ran::No {
                        refusal = error.refusal();
                    }
                }
            }
        }
        Err(refusal)
    }
}
