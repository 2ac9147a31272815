//! Faults that a test switches on at a stand-in that answers requests.

mod plan;
mod rule;

pub use plan::FaultPlan;
pub use rule::FaultKind;
pub use rule::FaultRule;
pub use rule::Step;
