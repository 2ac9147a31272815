//! Which engines take new weights, when, and which node orders it.
//!
//! One node at a time holds the roll-out, by a leased key in the platform's store. [`Tenure`] keeps
//! the time of the lease; [`LoadPlan`] decides which engines are next.

mod leadership;
mod plan;

pub use leadership::Claim;
pub use leadership::Leadership;
pub use plan::CommandResult;
pub use plan::EngineWeights;
pub use plan::LoadPlan;
