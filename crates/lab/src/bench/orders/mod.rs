//! Measures what orders cost at the platform.
//!
//! The ledger's real tasks run on a store in memory whose calls take a fixed time, with the clock
//! paused, so the counts are the same in every run. Three questions are asked: how many writes an
//! order costs in each layout, what the bound on orders in flight does to throughput, and what
//! retained keys cost in memory.

mod cluster;
mod counting;
mod window;
mod writes;

use std::thread;

use serde::Serialize;

pub use cluster::Linking;
pub use cluster::RecordLayout;
pub use window::MemoryReport;
pub use window::WindowReport;
pub use writes::WritesReport;

/// One line of the experiment.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "question", rename_all = "snake_case")]
pub enum OrdersReport {
    /// Writes at the platform for each order.
    Writes(WritesReport),
    /// Throughput under a bound on orders in flight.
    Window(WindowReport),
    /// Memory of retained keys.
    Memory(MemoryReport),
}

/// Runs the experiment, and hands each line to `print` when it is known.
pub fn run(seed: u64, mut print: impl FnMut(OrdersReport)) {
    for case in writes::cases() {
        print(OrdersReport::Writes(paused(move || writes::run(case, seed))));
    }
    for case in window::cases() {
        print(OrdersReport::Window(paused(move || window::run(case))));
    }
    for orders in window::RETAINED_ORDERS {
        print(OrdersReport::Memory(paused(move || window::retain(orders))));
    }
}

/// Runs a future on a paused clock in a thread of its own.
fn paused<F, T>(make: impl FnOnce() -> F + Send + 'static) -> T
where
    F: Future<Output = T>,
    T: Send + 'static,
{
    let thread = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime starts");
        runtime.block_on(make())
    });
    thread.join().expect("the experiment does not panic")
}
