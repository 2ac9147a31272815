//! The membership state machine of one node.
//!
//! A driver calls [`Cluster::tick`] about ten times a second, performs the returned [`Action`]s
//! and reports their results. All other methods read the state or publish items.
//!
//! Invariants, checked by [`Cluster::verify`]:
//! - the node's own record is live or leaving, and not less than any record of it received so far;
//! - no peer is recorded as having a newer version of an item than the node itself;
//! - at most one outbound link is open to each address.

mod exchange;
mod links;
mod options;
mod publish;
mod receive;
mod state;
mod summary;
mod tick;
mod verify;
mod watches;

pub use options::Action;
pub use options::Changes;
pub use options::ClusterOptions;
pub use state::Cluster;
pub use summary::Summary;
pub use verify::Violation;
pub use watches::EngineLoad;
