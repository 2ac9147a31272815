//! Bringing engines to the weights that were named.
//!
//! One node at a time gives the orders, by a leased key in the store; see
//! [`redwingrill_scheduling::rollout`] for the decisions.

mod leader_key;
mod task;

pub use task::RolloutOptions;
pub use task::RolloutTask;
