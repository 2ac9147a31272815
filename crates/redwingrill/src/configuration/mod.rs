//! Follows the accepted configuration on a node and rolls it out to engines.
//!
//! [`Configuration::start`] and [`Rollout::start`] spawn their tasks on the node's tracker. The
//! tasks end and release their resources when the node's token is cancelled.

mod engine_commands;
mod engine_reports;
mod rollout;
mod start;

pub use engine_commands::HttpEngineCommands;
pub use engine_reports::EngineReportHub;
pub use rollout::Rollout;
pub use start::Configuration;
pub use start::ConfigurationOptions;
