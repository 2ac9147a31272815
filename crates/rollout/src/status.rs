//! The status of the roll-out for state dumps.

use serde::Serialize;

/// The status of the roll-out at a node.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct RolloutStatus {
    /// Whether the node believes that it owns the roll-out.
    pub owning: bool,
    /// The fencing number of the last record that the node owned.
    pub fencing_number: u64,
    /// The names of the engines that load.
    pub loading: Vec<String>,
    /// The number of calls to the platform's store.
    pub store_calls: u64,
    /// The number of commands sent.
    pub orders_sent: u64,
    /// The number of commands that engines refused because of the fencing number.
    pub orders_refused: u64,
}
