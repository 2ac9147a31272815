//! The HTTP servers of a node: for callers, for readiness, and for metrics with the state dump.

mod caller_io;
mod listener;
mod status;

pub use listener::CallerListener;
pub use status::StatusServer;
