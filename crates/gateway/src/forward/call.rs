//! The state of a request while it is forwarded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;

use super::send_ledger::SendLedger;
use crate::clock::now_ms;
use redwingrill_routing::AccountTag;
use redwingrill_routing::AttemptMetadata;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::ClientAccount;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::RequestMetadata;
use redwingrill_routing::Route;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::Upstream;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::placement::Scope;
use redwingrill_scheduling::scheduler::AccountShare;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::ScheduleRequest;

/// The least urgent level that upstreams accept; zero is the most urgent.
const URGENCY_LIMIT: u8 = 9;

/// A caller's request and its routing state.
#[derive(Clone, Debug)]
pub(super) struct Call {
    // The prompt is moved out into `prompt`.
    pub metadata: RequestMetadata,
    pub prompt: Option<Arc<DeclaredPrompt>>,
    pub route: Arc<Route>,
    pub service: String,
    pub account: Option<ClientAccount>,
    pub method: Method,
    pub uri: Uri,
    // The headers of the caller that are forwarded.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived_ms: u64,
    // When the body was complete, on the node's clock.
    pub complete_ms: u64,
    // When the caller must have its complete response, on the node's clock.
    pub deadline_ms: u64,
    pub tried: Vec<UpstreamIndex>,
    // Attempts that reached an upstream, whether or not it ran the request.
    pub sends: u32,
    pub ledger: SendLedger,
    // The version of the software that began the stream which the request continues; every upstream
    // from now on must run it.
    pub software: Option<SoftwareVersion>,
}

impl Call {
    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(now_ms()))
    }

    /// Returns the time since the request arrived.
    pub fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.arrived_ms)
    }

    /// Returns the name of the client account for log lines; `-` without one.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("-", |account| account.name.as_str())
    }

    /// Returns the tokens of the declared prompt; zero without one.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens)
    }

    /// Returns the number of sends that an upstream may have run.
    pub fn possible_runs(&self) -> u32 {
        self.ledger.possible_runs()
    }

    /// Records an attempt that reached its upstream.
    pub fn record_send(&mut self, index: UpstreamIndex) {
        self.sends += 1;
        self.tried.push(index);
    }

    /// Returns whether the request may be sent to another upstream now.
    pub fn may_retry(&self) -> bool {
        let possible_runs = self.possible_runs();
        let may_run_twice = possible_runs == 0 || self.route.kind.allows_retry();
        may_run_twice && possible_runs < self.route.attempts_limit
    }

    /// Returns whether an upstream runs the software that the request needs, if it needs any.
    pub fn accepts_software(&self, upstream: &Upstream) -> bool {
        self.software.is_none() || self.software == upstream.software
    }

    /// Returns the requirements of the request for the scheduler.
    pub fn schedule_request(&self, audience: CacheAudience) -> ScheduleRequest {
        ScheduleRequest {
            service: self.service.clone(),
            route: RouteTag::of(&self.route.name),
            prompt: self.prompt.clone(),
            audience,
            account: self.account.as_ref().map(|account| AccountShare {
                tag: AccountTag::of(&account.name),
                weight: account.quota.map(|quota| quota.rate_per_s),
            }),
            urgency: self.urgency(),
            // A request joins the queue once its body is complete, so its target is counted from then.
            arrived_ms: self.complete_ms,
            deadline_ms: self.deadline_ms,
            target_ms: self.route.target_latency.as_millis() as u64,
            leaves_ms: self.leaves_ms(),
            pause_target_ms: self.route.pause_target.map(|pause| pause.as_millis() as u64),
            origin_domain: None,
            tried: self.tried.clone(),
            software: self.software.clone(),
        }
    }

    /// Returns when the caller leaves unless there is a first event.
    fn leaves_ms(&self) -> u64 {
        let patience = self.route.first_event_patience;
        let leaves_ms = patience.map(|wait| self.arrived_ms + wait.as_millis() as u64);
        leaves_ms.unwrap_or(self.deadline_ms).min(self.deadline_ms)
    }

    /// Returns the metadata of one attempt, for the head of the upstream request. `audience` is that
    /// of the configuration in force now. The request may have waited since its assignment, whose
    /// transfers are for another scope then.
    pub fn attempt_metadata(
        &self,
        assignment: &Assignment,
        audience: &CacheAudience,
        last_event_id: Option<u64>,
    ) -> AttemptMetadata {
        let account = self.account.as_ref();
        let is_engine = self.prompt.is_some();
        let version = assignment.version.unwrap_or_default();
        let scope = is_engine.then(|| Scope::new(version, audience));
        let is_assigned = scope == assignment.scope;
        AttemptMetadata {
            deadline: self.remaining(),
            account: account.map(|account| account.name.clone()),
            upstream_id: assignment.upstream.id.clone(),
            weights_version: assignment.version,
            urgency: is_engine.then(|| self.urgency()),
            cache_scope: scope.map(|scope| scope.0),
            fetch_from: assignment.fetch_from.filter(|_| is_assigned),
            save_to: assignment.save_to.filter(|_| is_assigned),
            last_event_id,
        }
    }

    fn urgency(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority).min(URGENCY_LIMIT)
    }
}
