//! The operator command.
//!
//! A command line becomes a typed [`Command`]; an [`Operator`] executes it through the ports of
//! the platform's store and the nodes' administration, so that tests run whole sessions on fakes.

mod admin;
mod apply;
mod args;
mod command;
mod error;
mod execute;
mod keys;
mod local;
mod main;
mod nodes;

pub use admin::ExplainError;
pub use admin::HttpNodes;
pub use admin::NodeAdmin;
pub use admin::NodeStatus;
pub use args::parse;
pub use command::ApplyArgs;
pub use command::Command;
pub use command::ExplainArgs;
pub use command::KeysArgs;
pub use command::NodeSelection;
pub use command::PlatformArgs;
pub use error::OperatorError;
pub use execute::Operator;
pub use execute::Output;
pub use local::hash_key;
pub use main::main;
