//! Services: forwarding of repeatable calls, and calls that run at most once.
//!
//! A repeatable call is forwarded to the first upstream that responds ([`handler`]). A call that must
//! not be repeated is an order: [`orders`] records it in the ledger before it is sent.

mod forward;
mod handler;
mod headers;
mod orders;
mod responses;
mod targets;

pub use handler::ServiceCall;
pub use handler::Services;
pub use headers::CLIENT_ACCOUNT_HEADER;
pub use headers::FENCING_HEADER;
pub use headers::IDEMPOTENCY_KEY_HEADER;
pub use headers::REPLAYED_HEADER;
pub use headers::WINDOW_HEADER;
pub use targets::TargetStanding;
