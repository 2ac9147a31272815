//! Commands to engines, and the port that sends them.

use std::future::Future;
use std::net::SocketAddr;

use redwingrill_entity::UpstreamId;

/// A command to load weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadCommand {
    /// The name of the model.
    pub model: String,
    /// The version of the weights.
    pub weights_version: String,
}

/// A command to change the role.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RoleCommand {
    /// The name of the role.
    pub role: String,
}

/// The action that a command requests.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CommandKind {
    /// Load weights.
    Load(LoadCommand),
    /// Change the role.
    Role(RoleCommand),
}

/// One command to one engine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineCommand {
    /// The engine.
    pub engine: UpstreamId,
    /// The address of the engine.
    pub address: SocketAddr,
    /// The requested action.
    pub kind: CommandKind,
    /// The fencing number of the sender. Engines that check it refuse a number below the highest
    /// that they have seen.
    pub fencing_number: u64,
}

/// The outcome of a command.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandOutcome {
    /// The engine accepted the command.
    Accepted,
    /// The engine has seen a higher fencing number and did not execute the command.
    Refused {
        /// The highest fencing number that the engine has seen.
        highest_seen: u64,
    },
    /// The command was not sent, or the engine reported that it did not execute it.
    NotExecuted,
    /// No response arrived. The engine may have executed the command.
    Unknown,
}

/// Sends commands to engines.
pub trait CommandSender: Clone + Send + Sync + 'static {
    /// Sends a command and waits for its outcome. The implementation bounds the wait.
    fn send(&self, command: &EngineCommand) -> impl Future<Output = CommandOutcome> + Send;
}
