//! When a node calls, so that a fleet of any size spares the platform.
//!
//! The store sees a rate of polls that the fleet as a whole keeps, whatever its size: each node
//! polls less often the more nodes live, and learns from its peers what another one read. All
//! periods have jitter, so that nodes that start together drift apart.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::storage::CALL_TIMEOUT;

/// The polls of the manifest that a whole fleet makes.
const FLEET_POLLS_PER_S: f64 = 2.5;

/// The shortest period of polls at one node.
const POLL_PERIOD_MIN: Duration = Duration::from_secs(3);

/// The longest period of polls at one node.
const POLL_PERIOD_MAX: Duration = Duration::from_secs(300);

/// The period at which a node looks at what its peers have in force.
const PEER_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The same while the node starts; the look itself makes no call.
const START_PEER_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// How long the first poll of a starting node may take; it doubles with each further one.
const START_POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// The first pause before failed work is tried again; it doubles up to the longest.
const RETRY_DELAY: Duration = Duration::from_millis(400);

const RETRY_DELAY_MAX: Duration = Duration::from_secs(3);

/// The part of the spread of fetches that each node adds.
const FETCH_SPREAD_PER_NODE: Duration = Duration::from_millis(5);

const FETCH_SPREAD_MAX: Duration = Duration::from_secs(2);

/// Fleets up to this size fetch at once.
const SMALL_FLEET_NODES: usize = 8;

/// The part of the spread of repairs that each node adds.
const REPAIR_SPREAD_PER_NODE: Duration = Duration::from_millis(100);

const REPAIR_SPREAD_MAX: Duration = Duration::from_secs(4);

/// The calls to the store that a whole fleet makes at most while it fetches chunks.
const FLEET_CALLS_PER_S: f64 = 800.0;

const NODE_CALLS_PER_S_MIN: f64 = 2.0;
const NODE_CALLS_PER_S_MAX: f64 = 100.0;

/// The calls that a whole fleet may make at once after a quiet time.
const FLEET_BURST: f64 = 1_000.0;

/// The fleet that shares the rate while a node starts, whatever it has met. The chunks of a small
/// site are within the burst that this leaves.
const START_FLEET_NODES: usize = 320;

const NODE_BURST_MIN: f64 = 3.0;
const NODE_BURST_MAX: f64 = 40.0;

/// Draws the pauses of one node.
#[derive(Debug)]
pub struct Pacing {
    rng: SmallRng,
    live_nodes: usize,
    starting: bool,
    start_polls: u32,
}

impl Pacing {
    /// Makes the pacing of a node from its own randomness.
    pub fn new(rng: SmallRng) -> Self {
        Self { rng, live_nodes: 1, starting: true, start_polls: 0 }
    }

    /// Notes how many nodes live.
    pub fn set_live_nodes(&mut self, live_nodes: usize) {
        self.live_nodes = live_nodes.max(1);
    }

    /// Notes whether the node has no configuration yet.
    pub fn set_starting(&mut self, starting: bool) {
        self.starting = starting;
    }

    /// Returns the pause until the next poll of the store, or the next try to open a watch.
    pub fn poll_delay(&mut self) -> Duration {
        let period = Duration::from_secs_f64(self.live_nodes as f64 / FLEET_POLLS_PER_S);
        self.jittered(period.clamp(POLL_PERIOD_MIN, POLL_PERIOD_MAX))
    }

    /// Returns how long a poll may take. While a node starts it is short at first, so that a silent
    /// store does not keep it from what peers have, and then longer, for a slow one.
    pub fn poll_timeout(&mut self) -> Duration {
        if !self.starting {
            return CALL_TIMEOUT;
        }
        let timeout = START_POLL_TIMEOUT * (1 << self.start_polls.min(8));
        self.start_polls += 1;
        timeout.min(CALL_TIMEOUT)
    }

    /// Returns the pause after a poll that failed.
    pub fn failed_poll_delay(&mut self) -> Duration {
        if self.starting { self.backoff_delay(self.start_polls) } else { self.poll_delay() }
    }

    /// Returns the pause until the next look at peers.
    pub fn peer_check_delay(&mut self) -> Duration {
        self.jittered(if self.starting { START_PEER_CHECK_PERIOD } else { PEER_CHECK_PERIOD })
    }

    /// Returns the pause before a changed configuration is fetched.
    pub fn fetch_delay(&mut self) -> Duration {
        if self.live_nodes <= SMALL_FLEET_NODES {
            return Duration::ZERO;
        }
        self.spread(FETCH_SPREAD_PER_NODE, FETCH_SPREAD_MAX)
    }

    /// Returns the pause before a read is tried again soon.
    pub fn retry_delay(&mut self) -> Duration {
        self.jittered(RETRY_DELAY)
    }

    /// Returns the pause after so many rounds of the same work that did not complete it.
    pub fn backoff_delay(&mut self, rounds: u32) -> Duration {
        let doubled = RETRY_DELAY * (1 << rounds.saturating_sub(1).min(8));
        self.jittered(doubled.min(RETRY_DELAY_MAX))
    }

    /// Returns the pause before the store is repaired, after so many rounds that did not; it is
    /// long enough that mostly one node does it.
    pub fn repair_delay(&mut self, rounds: u32) -> Duration {
        let spread = self.spread(REPAIR_SPREAD_PER_NODE, REPAIR_SPREAD_MAX);
        if rounds == 0 { spread } else { spread + self.backoff_delay(rounds) }
    }

    /// Returns the calls to the store that this node may make.
    pub fn call_rate(&self) -> CallRate {
        let nodes_min = if self.starting { START_FLEET_NODES } else { 1 };
        let nodes = self.live_nodes.max(nodes_min) as f64;
        CallRate {
            calls_per_s: (FLEET_CALLS_PER_S / nodes)
                .clamp(NODE_CALLS_PER_S_MIN, NODE_CALLS_PER_S_MAX),
            burst: (FLEET_BURST / nodes).clamp(NODE_BURST_MIN, NODE_BURST_MAX),
        }
    }

    /// Puts items into a random order.
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

/// The share of the platform's rate that one node takes.
#[derive(Clone, Copy, Debug)]
pub struct CallRate {
    /// The calls that go on for long.
    pub calls_per_s: f64,
    /// The calls at once after a quiet time.
    pub burst: f64,
}

/// Keeps a node within its allowance of calls to the store.
#[derive(Debug)]
pub struct CallBudget {
    used: f64,
    updated_at: Instant,
}

impl CallBudget {
    /// Makes a budget of which nothing is used.
    pub fn new(now: Instant) -> Self {
        Self { used: 0.0, updated_at: now }
    }

    /// Takes one call if there is one.
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

    /// Gives back a call that was not needed.
    pub fn refund(&mut self) {
        self.used = (self.used - 1.0).max(0.0);
    }
}
