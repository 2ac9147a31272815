//! Periods of polling, publishing and exchanging.
//!
//! A node's gossip bandwidth is proportional to the number of items of all nodes, divided by the
//! period. The periods therefore grow with the fleet, which keeps the bandwidth constant: loads are
//! refreshed every second in a fleet of 7 nodes, and every few seconds in one of 320 nodes. Urgent
//! changes (members, generations, leaving upstreams) do not wait for a period.

/// Transfers of each item over a node's links, sent and received combined.
///
/// An item crosses each link once, and a node has four links on average.
const LINK_TRANSFERS_PER_ITEM: u64 = 4;

/// Encoded size of an item without its payload.
const ITEM_OVERHEAD_BYTES: u64 = 6;

/// Encoded size of one engine in a load item.
const ENGINE_LEVEL_BYTES: u64 = 3;

/// Payload size of a full item of heavy hitters or hot prefixes.
const RANKING_PAYLOAD_BYTES: u64 = 24;

/// Bandwidth budget of a node for engine loads.
const LOAD_BUDGET_BYTES_PER_S: u64 = 1_500;

/// Bandwidth budget of a node for each ranking (heavy hitters, hot prefixes).
const RANKING_BUDGET_BYTES_PER_S: u64 = 250;

const LOAD_PERIOD_MIN_MS: u64 = 1_000;
const LOAD_PERIOD_MAX_MS: u64 = 10_000;
const RANKING_PERIOD_MIN_MS: u64 = 2_000;
const RANKING_PERIOD_MAX_MS: u64 = 300_000;
const EXCHANGE_PERIOD_MIN_MS: u64 = 1_000;
const EXCHANGE_PERIOD_MAX_MS: u64 = 3_000;

/// The periods of one node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Pacing {
    /// Interval between polls of one engine's load, and between published load items.
    pub load_period_ms: u64,
    /// Interval between published items of heavy hitters, and of hot prefixes.
    pub ranking_period_ms: u64,
    /// Interval between exchanges on one link.
    pub exchange_period_ms: u64,
}

impl Pacing {
    /// Computes the periods for a fleet of the given size.
    pub fn for_fleet(nodes: usize, engines: usize) -> Self {
        let nodes = nodes as u64;
        let load_bytes = nodes * ITEM_OVERHEAD_BYTES + engines as u64 * ENGINE_LEVEL_BYTES;
        let ranking_bytes = nodes * (ITEM_OVERHEAD_BYTES + RANKING_PAYLOAD_BYTES);
        let load_period_ms = period_ms(load_bytes, LOAD_BUDGET_BYTES_PER_S);
        let load_period_ms = load_period_ms.clamp(LOAD_PERIOD_MIN_MS, LOAD_PERIOD_MAX_MS);
        let ranking_period_ms = period_ms(ranking_bytes, RANKING_BUDGET_BYTES_PER_S);
        Self {
            load_period_ms,
            ranking_period_ms: ranking_period_ms
                .clamp(RANKING_PERIOD_MIN_MS, RANKING_PERIOD_MAX_MS),
            exchange_period_ms: (load_period_ms / 2)
                .clamp(EXCHANGE_PERIOD_MIN_MS, EXCHANGE_PERIOD_MAX_MS),
        }
    }
}

fn period_ms(period_bytes: u64, bytes_per_s: u64) -> u64 {
    period_bytes * LINK_TRANSFERS_PER_ITEM * 1_000 / bytes_per_s
}
