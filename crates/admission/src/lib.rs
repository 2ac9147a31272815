//! Admission of requests: queues, limits, fairness, retries, and the health of engines.
//!
//! - [`queue`] decides which waiting request goes next: priorities with floors, and deficit round
//!   robin over client accounts inside each.
//! - [`limits`] holds a client account to its token rate and its requests in flight, over the whole
//!   fleet.
//! - [`engines`] decides how much an engine gets: adaptive concurrency, ejection and slow return,
//!   and budgets for retries and hedged requests.
//!
//! Everything here is free of I/O: time is passed in as milliseconds on a monotonic clock.

pub mod engines;
pub mod limits;
pub mod queue;
