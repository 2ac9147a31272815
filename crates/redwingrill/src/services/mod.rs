//! Plain services: forwarding of calls, and calls that run at most once.

mod handler;

pub use handler::ServiceCall;
pub use handler::Services;
