//! Orders to engines, and the port that carries them.

use std::future::Future;
use std::net::SocketAddr;

use redwingrill_entity::UpstreamId;

/// An order to load weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadCommand {
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub weights_version: String,
}

/// An order to change the role.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RoleCommand {
    /// The role.
    pub role: String,
}

/// What to order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CommandKind {
    /// Load weights.
    Load(LoadCommand),
    /// Take a role.
    Role(RoleCommand),
}

/// One order to one engine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineCommand {
    /// The engine.
    pub engine: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// What to do.
    pub kind: CommandKind,
    /// The number that an engine which checks it compares with the highest it has seen.
    pub fencing_number: u64,
}

/// What became of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandOutcome {
    /// The engine took it.
    Accepted,
    /// The engine holds this higher fencing number and did nothing.
    Refused {
        /// The number that the engine holds.
        highest_seen: u64,
    },
    /// The order was not sent, or the engine said that it did nothing.
    NotExecuted,
    /// No answer came; the engine may have taken it.
    Unknown,
}

/// Carries orders to engines.
pub trait CommandSender: Clone + Send + Sync + 'static {
    /// Sends an order and waits, within a bound of its own, for what became of it.
    fn send(&self, command: &EngineCommand) -> impl Future<Output = CommandOutcome> + Send;
}
