//! Routes: which service answers, and what may be repeated.

use std::time::Duration;

/// What may be repeated of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteKind {
    /// The request is idempotent.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether another run may go on after the last event that was delivered. Otherwise the
        /// request runs at most once.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether the request may run more than once.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { is_resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ServiceShare {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Route {
    /// The name, unique in a configuration.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most; for streams, the first event.
    pub target_latency: Duration,
    /// The most upstreams that may run one request.
    pub attempts_limit: u32,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// The services that answer. Never empty.
    pub shares: Vec<ServiceShare>,
}

impl Route {
    /// Chooses a service by weight; `draw` is uniform over all integers.
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
