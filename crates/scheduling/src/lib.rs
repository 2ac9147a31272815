//! Decisions of a node about requests and upstreams, free of I/O.
//!
//! - [`fleet`] holds the upstreams, what they report and how they fare.
//! - [`placement`] orders engines for a prompt and knows which parts are cached where.
//! - [`budget`] bounds repeated sends over the whole fleet.
//! - [`rollout`] decides which engines take new weights, and when.
//! - [`scheduler`] joins these: it chooses an upstream for a request, or refuses the request.
//!
//! Time is passed in as milliseconds on a monotonic clock, randomness as draws.

pub mod fleet;
pub mod placement;
mod recent;
pub mod retry_budget;
pub mod rollout;
pub mod scheduler;
