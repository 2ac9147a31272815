//! Queues of waiting requests and the selection of the next one.
//!
//! ```text
//!            ┌─ priority 0 ── account queues (deficit round robin) ─┐
//!  push ─────┼─ priority 1 ── ...                                   ├──► pop
//!            └─ priority 2 ── ...                                   ┘
//! ```
//!
//! Invariants: an account is in the active list of its priority exactly while it has waiting
//! requests; the length and the cost of a queue are the sums over its accounts; a request waits in
//! one queue only.

mod drain_rate;
mod fair_queue;
mod headroom;
mod scheduler;
mod usage_shares;

pub use drain_rate::DrainRate;
pub use fair_queue::FairQueue;
pub use fair_queue::QueuedRequest;
pub use fair_queue::QueuedRequestId;
pub use scheduler::PrioritySpec;
pub use scheduler::QueueOutlook;
pub use scheduler::QueueRefusal;
pub use scheduler::Scheduler;
pub use scheduler::SchedulerState;
pub use usage_shares::FAIR_SHARE_TOLERANCE;
pub use usage_shares::UsageShares;
