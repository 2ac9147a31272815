//! What the configuration says about the orders of one account at one service.

use std::sync::Arc;

/// The bounds of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OrderPolicy {
    /// The client account's name.
    pub account: Arc<str>,
    /// How long records are retained.
    pub window_ms: u64,
    /// The most orders of the account in flight at the service; zero for no limit.
    pub in_flight_limit: u32,
    /// The age at which an unfinished order may be taken over; none if it may not.
    pub take_over_after_ms: Option<u64>,
}
