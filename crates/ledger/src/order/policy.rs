//! What the configuration says about the orders of one account at one service.

use std::sync::Arc;

use crate::record::TakeOver;

/// The bounds of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OrderPolicy {
    /// The client account's name.
    pub account: Arc<str>,
    /// How long records are retained.
    pub window_ms: u64,
    /// The most orders of the account in flight at the service; zero for no limit.
    pub in_flight_limit: u32,
    /// The age up to which an unfinished order may still be running.
    pub running_limit_ms: u64,
    /// Whether and how an unfinished order may be taken over.
    pub take_over: Option<TakeOver>,
}
