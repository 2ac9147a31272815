//! Routes: which service handles a request, and which requests may be retried.

use std::time::Duration;

/// Whether a request may be retried or resumed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteKind {
    /// The request is idempotent.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether another run may resume after the last delivered event. Otherwise the request
        /// runs at most once.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether the request may run more than once.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { is_resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ServiceShare {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Route {
    /// The name, unique in a configuration.
    pub name: String,
    /// The host of the requests.
    pub host: String,
    /// The prefix of the paths; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried or resumed.
    pub kind: RouteKind,
    /// The maximum time that a caller waits.
    pub timeout: Duration,
    /// The latency target of the response; for streams, of the first event.
    pub target_latency: Duration,
    /// The longest pause between the events of a stream for which the response is on time.
    pub pause_target: Option<Duration>,
    /// How long callers of a stream wait for its first event before they leave, if that is known.
    pub first_event_patience: Option<Duration>,
    /// The maximum number of upstreams that may run one request.
    pub attempts_limit: u32,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// The services that handle requests. Never empty.
    pub shares: Vec<ServiceShare>,
}

impl Route {
    /// Chooses a service by weight; `draw` must be uniform over all `u32` values.
    pub fn choose_service(&self, draw: u32) -> &str {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = u64::from(draw) % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return &share.service;
            }
            remaining -= weight;
        }
        &self.shares[0].service
    }
}
