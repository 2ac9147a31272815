//! The records of quarantined parts in the store, and the log of what changes.
//!
//! Digests make all nodes refuse a part at once; the record in the store outlives the nodes. It is
//! written under the longest lease, after which the part may be tried again.
//!
//! Invariants: a record is written only if its key is absent; a node that holds a part which the
//! store does not list keeps trying, and one that learned of it from another node waits longer.

mod log;
mod recorder;

pub(crate) use log::log_event;
pub use recorder::QuarantineRecorder;
