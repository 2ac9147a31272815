//! Loads the target weights version onto engines.
//!
//! One node at a time leads the roll-out, by a leased key in the store. The decisions are made in
//! [`redwingrill_scheduling::rollout`].

mod grace_task;
mod inquiry;
mod leader_key;
mod task;

pub use grace_task::GraceTask;
pub use inquiry::WeightsInquiry;
pub use task::RolloutOptions;
pub use task::RolloutTask;
