//! Logs and metrics.

mod logs;
mod metrics;

pub use logs::init_logs;
pub use metrics::Metrics;
