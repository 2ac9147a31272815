//! Paces the calls of a node so that a fleet of any size stays within the platform's call rate.
//!
//! The poll rate of the whole fleet is bounded: the more nodes are live, the less often each one
//! polls, and nodes receive changes that another node polled from their peers. All periods have
//! jitter, so that nodes that start together do not stay synchronized.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::storage::CALL_TIMEOUT;

/// The rate at which the whole fleet polls the manifest.
const FLEET_POLLS_PER_S: f64 = 2.5;

/// The minimum poll period of a node.
const POLL_PERIOD_MIN: Duration = Duration::from_secs(3);

/// The maximum poll period of a node.
const POLL_PERIOD_MAX: Duration = Duration::from_secs(300);

/// The period at which a node checks which generation its peers have in force.
const PEER_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The same period while the node starts. It can be short because a check makes no call.
const START_PEER_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// The timeout of the first poll of a starting node; it doubles with each further poll.
const START_POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// The first delay before a retry; it doubles up to [`RETRY_DELAY_MAX`].
const RETRY_DELAY: Duration = Duration::from_millis(400);

const RETRY_DELAY_MAX: Duration = Duration::from_secs(3);

/// Fetches of a change are spread over this time per live node, up to [`FETCH_SPREAD_MAX`].
const FETCH_SPREAD_PER_NODE: Duration = Duration::from_millis(5);

const FETCH_SPREAD_MAX: Duration = Duration::from_secs(2);

/// Fleets up to this size fetch a change without delay.
const SMALL_FLEET_NODES: usize = 8;

/// Repairs are spread over this time per live node, up to [`REPAIR_SPREAD_MAX`].
const REPAIR_SPREAD_PER_NODE: Duration = Duration::from_millis(100);

const REPAIR_SPREAD_MAX: Duration = Duration::from_secs(4);

/// The maximum rate of store calls by the whole fleet while it fetches chunks.
const FLEET_CALLS_PER_S: f64 = 800.0;

const NODE_CALLS_PER_S_MIN: f64 = 2.0;
const NODE_CALLS_PER_S_MAX: f64 = 100.0;

/// The burst of store calls that the whole fleet may make after an idle period.
const FLEET_BURST: f64 = 1_000.0;

/// The minimum fleet size that a starting node assumes for its share of the call rate, since it
/// knows few peers and all nodes may be starting. The remaining burst still covers the chunks of a
/// small deployment.
const START_FLEET_NODES: usize = 320;

const NODE_BURST_MIN: f64 = 3.0;
const NODE_BURST_MAX: f64 = 40.0;

/// Computes the delays and the call rate of one node.
#[derive(Debug)]
pub struct Pacing {
    rng: SmallRng,
    live_nodes: usize,
    starting: bool,
    start_polls: u32,
}

impl Pacing {
    /// Creates the pacing of a node. Each node needs a differently seeded `rng`.
    pub fn new(rng: SmallRng) -> Self {
        Self { rng, live_nodes: 1, starting: true, start_polls: 0 }
    }

    /// Sets the number of live nodes, including this one.
    pub fn set_live_nodes(&mut self, live_nodes: usize) {
        self.live_nodes = live_nodes.max(1);
    }

    /// Sets whether the node is starting: it has no configuration in force yet.
    pub fn set_starting(&mut self, starting: bool) {
        self.starting = starting;
    }

    /// Returns the delay until the next poll of the store or the next attempt to open a watch.
    pub fn poll_delay(&mut self) -> Duration {
        let period = Duration::from_secs_f64(self.live_nodes as f64 / FLEET_POLLS_PER_S);
        self.jittered(period.clamp(POLL_PERIOD_MIN, POLL_PERIOD_MAX))
    }

    /// Returns the timeout of a poll. While a node starts, the timeout is short at first, so that
    /// an unresponsive store does not delay fetching from peers, and grows to allow for a slow
    /// store.
    pub fn poll_timeout(&mut self) -> Duration {
        if !self.starting {
            return CALL_TIMEOUT;
        }
        let timeout = START_POLL_TIMEOUT * (1 << self.start_polls.min(8));
        self.start_polls += 1;
        timeout.min(CALL_TIMEOUT)
    }

    /// Returns the delay after a failed poll.
    pub fn failed_poll_delay(&mut self) -> Duration {
        if self.starting { self.backoff_delay(self.start_polls) } else { self.poll_delay() }
    }

    /// Returns the delay until the next check of peers.
    pub fn peer_check_delay(&mut self) -> Duration {
        self.jittered(if self.starting { START_PEER_CHECK_PERIOD } else { PEER_CHECK_PERIOD })
    }

    /// Returns the delay before a changed configuration is fetched.
    pub fn fetch_delay(&mut self) -> Duration {
        if self.live_nodes <= SMALL_FLEET_NODES {
            return Duration::ZERO;
        }
        self.spread(FETCH_SPREAD_PER_NODE, FETCH_SPREAD_MAX)
    }

    /// Returns the delay before a read is retried, without backoff.
    pub fn retry_delay(&mut self) -> Duration {
        self.jittered(RETRY_DELAY)
    }

    /// Returns the exponential backoff after `rounds` rounds that did not complete their work.
    pub fn backoff_delay(&mut self, rounds: u32) -> Duration {
        let doubled = RETRY_DELAY * (1 << rounds.saturating_sub(1).min(8));
        self.jittered(doubled.min(RETRY_DELAY_MAX))
    }

    /// Returns the delay before the store is repaired, after `rounds` failed repairs. It is spread
    /// widely enough that usually only one node makes the repair.
    pub fn repair_delay(&mut self, rounds: u32) -> Duration {
        let spread = self.spread(REPAIR_SPREAD_PER_NODE, REPAIR_SPREAD_MAX);
        if rounds == 0 { spread } else { spread + self.backoff_delay(rounds) }
    }

    /// Returns this node's share of the store calls of the fleet.
    pub fn call_rate(&self) -> CallRate {
        let nodes_min = if self.starting { START_FLEET_NODES } else { 1 };
        let nodes = self.live_nodes.max(nodes_min) as f64;
        CallRate {
            calls_per_s: (FLEET_CALLS_PER_S / nodes)
                .clamp(NODE_CALLS_PER_S_MIN, NODE_CALLS_PER_S_MAX),
            burst: (FLEET_BURST / nodes).clamp(NODE_BURST_MIN, NODE_BURST_MAX),
        }
    }

    /// Shuffles items.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for index in (1..items.len()).rev() {
            items.swap(index, self.rng.random_range(0..=index));
        }
    }

    fn jittered(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    fn spread(&mut self, per_node: Duration, max: Duration) -> Duration {
        let nodes = u32::try_from(self.live_nodes).unwrap_or(u32::MAX);
        let spread = per_node.checked_mul(nodes).unwrap_or(max).min(max);
        spread.mul_f64(self.rng.random_range(0.0..=1.0))
    }
}

/// The parameters of a node's token bucket for store calls.
#[derive(Clone, Copy, Debug)]
pub struct CallRate {
    /// The sustained rate.
    pub calls_per_s: f64,
    /// The maximum burst after an idle period.
    pub burst: f64,
}

/// A token bucket that limits a node's store calls.
#[derive(Debug)]
pub struct CallBudget {
    used: f64,
    updated_at: Instant,
}

impl CallBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self { used: 0.0, updated_at: now }
    }

    /// Takes one call from the bucket. Returns whether there was one.
    pub fn take(&mut self, now: Instant, call_rate: CallRate) -> bool {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.used = (self.used - elapsed_s * call_rate.calls_per_s).max(0.0);
        self.updated_at = now;
        let allowed = self.used + 1.0 <= call_rate.burst;
        if allowed {
            self.used += 1.0;
        }
        allowed
    }

    /// Returns an unused call to the bucket.
    pub fn refund(&mut self) {
        self.used = (self.used - 1.0).max(0.0);
    }
}
