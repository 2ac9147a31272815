//! Keeping the accepted configuration in force on a node, and rolling it out to engines.
//!
//! [`Configuration::start`] and [`Rollout::start`] spawn their tasks on the node's tracker; they
//! end, with all that they have opened, when the node's token is cancelled.

mod engine_facts;
mod engine_orders;
mod rollout;
mod start;

pub use engine_facts::EngineFactsHub;
pub use engine_orders::HttpEngineOrders;
pub use rollout::Rollout;
pub use start::Configuration;
pub use start::ConfigurationOptions;
