//! What the roll-out tells for the dump.

use serde::Serialize;

/// The state of the roll-out at a node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct RolloutStatus {
    /// Whether the node believes that it owns the roll-out.
    pub owning: bool,
    /// The fencing number it saw last.
    pub fencing_number: u64,
    /// The engines that load.
    pub loading: Vec<String>,
    /// Calls to the platform's store.
    pub store_calls: u64,
    /// Orders sent.
    pub orders_sent: u64,
    /// Orders refused because of their fencing number.
    pub orders_refused: u64,
}
