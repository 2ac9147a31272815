//! A request that is described but not sent.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;

use super::call::Call;
use super::gateway::DEFAULT_TIMEOUT_MS;
use super::send_ledger::SendLedger;
use crate::clock::now_ms;
use redwingrill_routing::CacheAudience;
use redwingrill_routing::ClientAccount;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::RequestMetadata;
use redwingrill_routing::Route;
use redwingrill_scheduling::scheduler::ScheduleRequest;

/// A request that would arrive now.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// The route.
    pub route: Arc<Route>,
    /// The service of the route.
    pub service: String,
    /// The client account.
    pub account: Option<ClientAccount>,
    /// The prompt, if one is declared.
    pub prompt: Option<Arc<DeclaredPrompt>>,
    /// The accounts that share cached prompt parts with it.
    pub audience: CacheAudience,
}

impl PlannedCall {
    /// Returns the requirements for the scheduler, as for a request that is sent.
    pub fn schedule_request(self) -> ScheduleRequest {
        let now_ms = now_ms();
        let timeout_ms = DEFAULT_TIMEOUT_MS.min(self.route.timeout.as_millis() as u64);
        let call = Call {
            metadata: RequestMetadata::default(),
            prompt: self.prompt,
            route: self.route,
            service: self.service,
            account: self.account,
            method: Method::POST,
            uri: Uri::default(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            arrived_ms: now_ms,
            complete_ms: now_ms,
            deadline_ms: now_ms + timeout_ms,
            tried: Vec::new(),
            sends: 0,
            ledger: SendLedger::default(),
            software: None,
        };
        call.schedule_request(self.audience)
    }
}
