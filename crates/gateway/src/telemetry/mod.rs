//! Logs and metrics.

mod logs;
mod metrics;

pub use logs::LogGuard;
pub use logs::init_logs;
pub use metrics::Metrics;
