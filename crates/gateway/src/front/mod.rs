//! The HTTP servers of a node: callers, readiness, and metrics with the state dump.

mod listener;
mod status;

pub use listener::CallerListener;
pub use status::StatusServer;
