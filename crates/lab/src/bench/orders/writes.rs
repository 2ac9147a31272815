//! How many writes an order costs.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::task::JoinSet;

use super::cluster::Cluster;
use super::cluster::ClusterOptions;
use super::cluster::Linking;
use super::cluster::RecordLayout;
use super::cluster::run_order;

const STORE_DELAY: Duration = Duration::from_millis(3);
const WINDOW_MS: u64 = 3_600_000;
const ORDERS_PER_S: [u32; 3] = [1, 10, 100];
const NODES: [usize; 4] = [1, 3, 5, 7];
const SECONDS: u32 = 120;
const ORDERS_MIN: u32 = 300;
const ORDERS_MAX: u32 = 3_000;

/// One setting.
#[derive(Clone, Copy, Debug)]
pub(super) struct WritesCase {
    layout: RecordLayout,
    linking: Linking,
    orders_per_s: u32,
    nodes: usize,
}

/// What orders cost in one setting.
#[derive(Clone, Debug, Serialize)]
pub struct WritesReport {
    /// Where records lie.
    pub layout: RecordLayout,
    /// Whether nodes write for one another.
    pub linking: Linking,
    /// Orders a second over all nodes.
    pub orders_per_s: u32,
    /// Nodes.
    pub nodes: usize,
    /// Orders recorded.
    pub orders: usize,
    /// Orders refused.
    pub refused: usize,
    /// Writes at the platform for each order.
    pub writes_per_order: f64,
    /// Reads at the platform for each order.
    pub reads_per_order: f64,
    /// Bytes written at the platform for each order.
    pub written_bytes_per_order: f64,
    /// The median time until an order is recorded.
    pub record_ms_p50: u64,
    /// The time until an order is recorded, for 99 in 100.
    pub record_ms_p99: u64,
}

/// All settings.
pub(super) fn cases() -> Vec<WritesCase> {
    let kinds = [
        (RecordLayout::Single, Linking::None),
        (RecordLayout::Paged, Linking::None),
        (RecordLayout::Paged, Linking::Homes),
    ];
    let mut cases = Vec::new();
    for (layout, linking) in kinds {
        for orders_per_s in ORDERS_PER_S {
            cases.extend(NODES.map(|nodes| WritesCase { layout, linking, orders_per_s, nodes }));
        }
    }
    cases
}

/// Measures one setting.
pub(super) async fn run(case: WritesCase, seed: u64) -> WritesReport {
    let WritesCase { layout, linking, orders_per_s, nodes } = case;
    let cluster = Cluster::start(ClusterOptions {
        layout,
        linking,
        nodes,
        store_delay: STORE_DELAY,
        window_ms: WINDOW_MS,
        in_flight_limit: 0,
    });
    let store = cluster.store.clone();
    let count = (orders_per_s * SECONDS).clamp(ORDERS_MIN, ORDERS_MAX);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut orders = JoinSet::new();
    for number in 0..u64::from(count) {
        // Exponential gaps, as of callers that do not know of each other.
        let gap_s = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / f64::from(orders_per_s);
        tokio::time::sleep(Duration::from_secs_f64(gap_s)).await;
        let ledger = cluster.ledger(rng.random_range(0..nodes));
        let policy = cluster.policy();
        orders.spawn(async move { run_order(&ledger, policy, number).await });
    }
    let results = orders.join_all().await;
    cluster.stop().await;
    let mut took_ms: Vec<u64> =
        results.iter().flatten().map(|took| took.as_millis() as u64).collect();
    took_ms.sort_unstable();
    let counts = store.inner.counts();
    let per_order = |total: u64| total as f64 / took_ms.len().max(1) as f64;
    WritesReport {
        layout,
        linking,
        orders_per_s,
        nodes,
        orders: took_ms.len(),
        refused: results.len() - took_ms.len(),
        writes_per_order: per_order(counts.writes),
        reads_per_order: per_order(counts.reads),
        written_bytes_per_order: per_order(store.written_bytes()),
        record_ms_p50: percentile(&took_ms, 50),
        record_ms_p99: percentile(&took_ms, 99),
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = sorted.len().saturating_sub(1) * percent / 100;
    sorted.get(index).copied().unwrap_or(0)
}
