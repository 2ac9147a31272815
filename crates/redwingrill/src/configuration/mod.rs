//! Keeping the accepted configuration in force on a node, and rolling it out to engines.
//!
//! [`Configuration::start`] and [`Rollout::start`] spawn their tasks on the node's tracker; they
//! end, with all that they have opened, when the node's token is cancelled.

mod engine_commands;
mod engine_reports;
mod rollout;
mod start;

pub use engine_commands::HttpEngineCommands;
pub use engine_reports::EngineReportHub;
pub use rollout::Rollout;
pub use start::Configuration;
pub use start::ConfigurationOptions;
