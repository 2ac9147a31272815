//! Keeping the accepted configuration in force on a node.
//!
//! [`Configuration::start`] spawns the follower on the node's task tracker; it ends, with its watch
//! joined, when the node's token is cancelled.

mod start;

pub use start::Configuration;
pub use start::ConfigurationOptions;
