//! The state machine of one node among the others.
//!
//! A driver calls [`Cluster::tick`] about ten times a second, carries out the [`Action`]s it
//! returns, and reports what came of them. Everything else is a read or a publication.
//!
//! Invariants, checked by [`Cluster::verify`]:
//! - the node's own record is live or leaving and no less than any record of it that it met;
//! - no peer is known to have a newer version of an item than the node itself;
//! - at most one link is open to an address.

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
