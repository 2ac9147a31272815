//! The configured limits for the orders of one client account at one service.

use std::sync::Arc;

use crate::record::TakeOver;

/// The limits that apply to an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OrderPolicy {
    /// The client account's name.
    pub account: Arc<str>,
    /// The retention window of records, in milliseconds.
    pub window_ms: u64,
    /// The maximum number of the account's orders in flight at the service; zero for no limit.
    pub in_flight_limit: u32,
    /// The age in milliseconds up to which an unfinished order may still be running.
    pub running_limit_ms: u64,
    /// Whether and how an unfinished order may be taken over.
    pub take_over: Option<TakeOver>,
}
