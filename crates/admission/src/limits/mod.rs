//! Fleet-wide limits of client accounts.
//!
//! [`fleet`] holds quotas with a bound over all nodes: nodes lease tokens from their owners.
//!
//! [`AccountLimits`] needs no messages for a request. Each node enforces a share of it, equal to the share of the
//! account's demand that arrives at the node. Only accounts with high demand matter, so nodes
//! exchange the demand of their top accounts only. An account that no other node reports is assumed
//! to send all its requests to this node.
//!
//! Invariants: a share is above zero and at most one; the count of an account's requests in flight
//! never goes below zero.

mod accounts;
mod bucket;
mod demand;
pub mod fleet;
mod limit_spec;
mod recent_use;

pub use accounts::AccountLimits;
pub use accounts::AccountState;
pub use accounts::LimitRefusal;
pub use bucket::BucketSpec;
pub use bucket::TokenBucket;
pub use demand::AccountDemand;
pub use demand::DemandTracker;
pub use limit_spec::LimitSpec;
pub use recent_use::RecentUse;
