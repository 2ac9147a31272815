//! The roll-out of new weights: which engines load them, when, and which node commands it.
//!
//! One node at a time leads the roll-out, by a leased key in the platform's store. [`Leadership`]
//! tracks the time of the lease; [`LoadPlan`] decides which engines are next.

mod leadership;
mod plan;

pub use leadership::Claim;
pub use leadership::KeyHolder;
pub use leadership::Leadership;
pub use plan::CommandResult;
pub use plan::EngineWeights;
pub use plan::LoadPlan;
