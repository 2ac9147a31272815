//! Orders to engines, and the port that carries them.

use std::future::Future;
use std::net::SocketAddr;

use redwingrill_entity::UpstreamId;

/// An order to load weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub weights_version: String,
}

/// An order to change the role.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RoleOrder {
    /// The role.
    pub role: String,
}

/// What to order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OrderKind {
    /// Load weights.
    Load(LoadOrder),
    /// Take a role.
    Role(RoleOrder),
}

/// One order to one engine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Order {
    /// The engine.
    pub engine: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// The number that an engine which checks it compares with the highest it has seen.
    pub fencing_number: u64,
}

/// What became of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine holds this higher fencing number and did nothing.
    Refused {
        /// The number that the engine holds.
        held: u64,
    },
    /// The order was not sent, or the engine said that it did nothing.
    NotTaken,
    /// No answer came; the engine may have taken it.
    Unknown,
}

/// Carries orders to engines.
pub trait EngineOrders: Clone + Send + Sync + 'static {
    /// Sends an order and waits, within a bound of its own, for what became of it.
    fn send(&self, order: &Order) -> impl Future<Output = OrderOutcome> + Send;
}
