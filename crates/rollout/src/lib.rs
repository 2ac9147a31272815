//! Roll-out of model weights and roles to engines.
//!
//! One record in the platform's store names the owner, its fencing number and the loads in
//! progress. A load is in the record before its order is sent, so that whoever owns the roll-out
//! counts it. Ownership is an aim, not a lock: a second owner's swap of the record fails, or its
//! order carries an old fencing number, or names a load that the record has anyway.

mod facts;
mod orders;
mod plan;
mod record;
mod stages;
mod status;
mod task;

pub use facts::EngineFact;
pub use facts::EngineFacts;
pub use orders::EngineOrders;
pub use orders::LoadOrder;
pub use orders::Order;
pub use orders::OrderKind;
pub use orders::OrderOutcome;
pub use orders::RoleOrder;
pub use plan::Backoffs;
pub use plan::Plan;
pub use plan::is_complete;
pub use plan::plan;
pub use record::LoadEntry;
pub use record::ROLLOUT_KEY;
pub use record::RoleEntry;
pub use record::RolloutRecord;
pub use stages::Owning;
pub use stages::Rollout;
pub use stages::Step;
pub use stages::Watching;
pub use status::RolloutStatus;
pub use task::RolloutInputs;
pub use task::RolloutTask;
