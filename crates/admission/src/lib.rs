//! Request admission: queues, limits, fairness, retry budgets, and engine health.
//!
//! - [`queue`] selects the next request to start: priorities with floors, and deficit round robin
//!   over client accounts within each priority.
//! - [`limits`] enforces the token rate and the requests in flight of a client account, over the
//!   whole fleet.
//! - [`engines`] decides how many requests an engine receives: adaptive concurrency, ejection and
//!   ramp-up, and budgets for retries and hedged requests.
//!
//! This crate performs no I/O: time is passed in as milliseconds on a monotonic clock.

pub mod engines;
pub mod limits;
pub mod queue;
