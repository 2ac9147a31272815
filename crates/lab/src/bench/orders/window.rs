//! What the bound on orders in flight, and the retained keys, cost.

use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::cluster::Cluster;
use super::cluster::ClusterOptions;
use super::cluster::Linking;
use super::cluster::RecordLayout;
use super::cluster::run_order;

const IN_FLIGHT: [u32; 6] = [1, 5, 10, 20, 50, 100];
const STORE_DELAYS_MS: [u64; 3] = [3, 30, 150];
const ORDERS: u64 = 600;
const CALLERS_RETAINING: u64 = 50;

/// How many orders are retained in the runs that measure memory.
pub(super) const RETAINED_ORDERS: [u64; 3] = [1_000, 5_000, 20_000];

/// One setting.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowCase {
    layout: RecordLayout,
    in_flight: u32,
    store_delay_ms: u64,
}

/// The throughput in one setting.
#[derive(Clone, Debug, Serialize)]
pub struct WindowReport {
    /// Where records lie.
    pub layout: RecordLayout,
    /// The bound on orders in flight; as many callers send without a pause.
    pub in_flight: u32,
    /// How long a call to the platform takes.
    pub store_delay_ms: u64,
    /// Orders recorded and finished a second.
    pub orders_per_s: f64,
    /// The mean time an order took.
    pub order_ms: f64,
}

/// The memory of retained keys.
#[derive(Clone, Debug, Serialize)]
pub struct MemoryReport {
    /// Orders retained.
    pub orders: u64,
    /// Keys that the node holds of sealed pages.
    pub keys: usize,
    /// Pages that the node knows.
    pub pages: usize,
    /// Bytes at the platform for each order.
    pub stored_bytes_per_order: f64,
}

/// All settings.
pub(super) fn cases() -> Vec<WindowCase> {
    let mut cases = Vec::new();
    for layout in [RecordLayout::Single, RecordLayout::Paged] {
        for store_delay_ms in STORE_DELAYS_MS {
            cases.extend(IN_FLIGHT.map(|in_flight| WindowCase {
                layout,
                in_flight,
                store_delay_ms,
            }));
        }
    }
    cases
}

fn options(layout: RecordLayout, store_delay: Duration) -> ClusterOptions {
    ClusterOptions {
        layout,
        linking: Linking::None,
        nodes: 1,
        store_delay,
        window_ms: 3_600_000,
        in_flight_limit: 0,
    }
}

/// Measures one setting.
pub(super) async fn run(case: WindowCase) -> WindowReport {
    let delay = Duration::from_millis(case.store_delay_ms);
    let cluster = Cluster::start(options(case.layout, delay));
    let began = Instant::now();
    let total = run_callers(&cluster, u64::from(case.in_flight), ORDERS).await;
    let orders_per_s = ORDERS as f64 / began.elapsed().as_secs_f64();
    cluster.stop().await;
    let order_ms = total.as_secs_f64() * 1_000.0 / ORDERS as f64;
    WindowReport {
        layout: case.layout,
        in_flight: case.in_flight,
        store_delay_ms: case.store_delay_ms,
        orders_per_s,
        order_ms,
    }
}

/// Lets callers send one order after the other. Returns the sum of the times they took.
async fn run_callers(cluster: &Cluster, callers: u64, orders: u64) -> Duration {
    let mut running = JoinSet::new();
    for caller in 0..callers {
        let (ledger, policy) = (cluster.ledger(0), cluster.policy());
        running.spawn(async move {
            let began = Instant::now();
            for number in (caller..orders).step_by(callers as usize) {
                run_order(&ledger, policy.clone(), number).await;
            }
            began.elapsed()
        });
    }
    running.join_all().await.into_iter().sum()
}

/// Measures what a number of retained orders costs.
pub(super) async fn retain(orders: u64) -> MemoryReport {
    let delay = Duration::from_millis(3);
    let cluster = Cluster::start(options(RecordLayout::Paged, delay));
    run_callers(&cluster, CALLERS_RETAINING, orders).await;
    let ledger = cluster.ledger(0);
    ledger.drain(Duration::from_secs(60)).await;
    let state = ledger.state().await.unwrap_or_default();
    let store = cluster.store.clone();
    cluster.stop().await;
    let stored = redwingrill_ports::Store::list(&store, "redwingrill/orders/").await;
    let stored_bytes: usize =
        stored.unwrap_or_default().iter().map(|entry| entry.value.len()).sum();
    MemoryReport {
        orders,
        keys: state.layout.keys,
        pages: state.layout.documents,
        stored_bytes_per_order: stored_bytes as f64 / orders as f64,
    }
}
