//! One request on its way.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;

use crate::clock::now_ms;
use redwingrill_routing::ClientAccount;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::LegOrders;
use redwingrill_routing::RequestFacts;
use redwingrill_routing::Route;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::scheduler::Ask;
use redwingrill_scheduling::scheduler::Assignment;

/// The lowest urgency at upstreams.
const URGENCY_LIMIT: u8 = 9;

/// One request on its way.
#[derive(Clone, Debug)]
pub(super) struct Call {
    // Without the prompt, which stands beside.
    pub metadata: RequestFacts,
    pub prompt: Option<Arc<DeclaredPrompt>>,
    pub route: Arc<Route>,
    pub service: String,
    pub account: Option<ClientAccount>,
    pub method: Method,
    pub uri: Uri,
    // What is passed on of the caller's head.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived_ms: u64,
    // When the caller gets its final answer at the latest.
    pub deadline_ms: u64,
    pub tried: Vec<UpstreamIndex>,
    // Sends that an upstream may have run.
    pub possible_runs: u32,
    // Sends that reached an upstream, run or not.
    pub sends: u32,
}

impl Call {
    /// Returns the time that is left.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(now_ms()))
    }

    /// Returns the time since the arrival.
    pub fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.arrived_ms)
    }

    /// Notes a send that an upstream may have run.
    pub fn record_possible_run(&mut self, index: UpstreamIndex) {
        self.sends += 1;
        self.possible_runs += 1;
        self.tried.push(index);
    }

    /// Returns whether another upstream may run the request now.
    pub fn may_retry(&self) -> bool {
        let may_run_twice = self.possible_runs == 0 || self.route.kind.may_repeat();
        may_run_twice && self.possible_runs < self.route.attempts_limit
    }

    /// Returns what the request asks the scheduler for.
    pub fn schedule_request(&self) -> Ask {
        let isolated = self.account.as_ref().filter(|account| account.is_isolated);
        Ask {
            service: self.service.clone(),
            prompt: self.prompt.clone(),
            isolated_account: isolated.map(|account| account.name.clone()),
            urgency: self.urgency(),
            arrived_ms: self.arrived_ms,
            deadline_ms: self.deadline_ms,
            target_ms: self.route.target_latency.as_millis() as u64,
            tried: self.tried.clone(),
        }
    }

    /// Returns what an upstream is told.
    pub fn attempt_options(
        &self,
        assignment: &Assignment,
        last_event_id: Option<u64>,
    ) -> LegOrders {
        let account = self.account.as_ref();
        let is_engine = self.prompt.is_some();
        LegOrders {
            deadline: self.remaining(),
            account: account.map(|account| account.name.clone()),
            upstream_id: assignment.upstream.id.clone(),
            weights_version: assignment.version,
            urgency: is_engine.then(|| self.urgency()),
            cache_scope: assignment.scope.as_ref().map(|scope| scope.0.clone()),
            fetch_from: assignment.fetch_from,
            save_to: assignment.save_to,
            last_event_id,
        }
    }

    fn urgency(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority).min(URGENCY_LIMIT)
    }
}
