//! Limits of client accounts over the whole fleet.
//!
//! A limit is for the fleet, and a node enforces its part of it: the part of the account's demand
//! that comes to this node. Only accounts with much demand matter, so nodes exchange their top
//! accounts and nothing else. What the exchange does not name is taken to come here alone.
//!
//! Invariants: a part is above zero and at most one; requests in flight of an account never go
//! below zero.

mod accounts;
mod demand;

pub use accounts::AccountLimits;
pub use accounts::AccountState;
pub use accounts::LimitRefusal;
pub use accounts::LimitSpec;
pub use demand::AccountDemand;
pub use demand::DemandTracker;
