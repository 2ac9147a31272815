//! Leases that remove records past their retention.
//!
//! All records that a node writes for a service within one span of time are attached to one lease.
//! It is never renewed, and its TTL exceeds the retention time by one span, so a record lives long
//! enough whenever in the span it was written. A lease decides only when a record is removed, never
//! who may send.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ClockReading;
use crate::layout::LayoutConfig;
use crate::layout::StoreCall;
use crate::layout::StoreResponse;
use redwingrill_ports::LeaseId;

/// The number of lease spans in one retention time.
const SPANS_PER_RETENTION: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    id: LeaseId,
    window_ms: u64,
    at: ClockReading,
}

#[derive(Clone, Debug)]
struct LeaseRequest {
    service: Arc<str>,
    window_ms: u64,
}

/// The leases of one node.
#[derive(Debug)]
pub(super) struct Leases {
    config: LayoutConfig,
    granted: BTreeMap<Arc<str>, GrantedLease>,
    requested: BTreeMap<Arc<str>, u64>,
    in_flight: Option<(LeaseRequest, ClockReading)>,
    retry_at_ms: u64,
}

impl Leases {
    pub(super) fn new(config: LayoutConfig) -> Self {
        let (granted, requested) = (BTreeMap::new(), BTreeMap::new());
        Self { config, granted, requested, in_flight: None, retry_at_ms: 0 }
    }

    /// Returns the lease for new records of a service; if there is none, one will be requested. A
    /// window of zero matches a lease granted for any window.
    pub(super) fn current(
        &mut self,
        service: &Arc<str>,
        window_ms: u64,
        now: ClockReading,
    ) -> Option<LeaseId> {
        let span_ms = self.config.key_retention_ms(window_ms) / SPANS_PER_RETENTION;
        let usable = |granted: &&GrantedLease| {
            [granted.window_ms, 0].contains(&window_ms) && now.since_ms(granted.at) < span_ms
        };
        let id = self.granted.get(service).filter(usable).map(|granted| granted.id);
        if id.is_none() {
            self.requested.insert(service.clone(), window_ms);
        }
        id
    }

    /// Returns the next grant to request.
    pub(super) fn next_call(&mut self, now: ClockReading) -> Option<StoreCall> {
        if self.in_flight.is_some() || now.monotonic_ms < self.retry_at_ms {
            return None;
        }
        let (service, window_ms) = self.requested.pop_first()?;
        let retention_ms = self.config.key_retention_ms(window_ms);
        let ttl_ms = retention_ms + retention_ms / SPANS_PER_RETENTION + self.config.view_ttl_ms;
        self.in_flight = Some((LeaseRequest { service, window_ms }, now));
        Some(StoreCall::Grant { ttl_ms })
    }

    /// Handles the response to a grant.
    pub(super) fn handle_response(&mut self, response: StoreResponse, now: ClockReading) {
        let Some((LeaseRequest { service, window_ms }, at)) = self.in_flight.take() else { return };
        if let StoreResponse::Grant(Ok(id)) = response {
            self.requested.remove(&service);
            self.granted.insert(service, GrantedLease { id, window_ms, at });
        } else {
            // A record that still needs the lease requests it again.
            self.retry_at_ms = now.monotonic_ms + self.config.retry_backoff_ms;
        }
    }

    /// Drops a lease that the store may no longer have, as after a restore.
    pub(super) fn forget(&mut self, service: &str) {
        self.granted.remove(service);
    }

    /// Returns when the next grant may be requested.
    pub(super) fn wake_at_ms(&self) -> Option<u64> {
        (self.in_flight.is_none() && !self.requested.is_empty()).then_some(self.retry_at_ms)
    }
}
