//! The order of a writer's own writes.

use std::fmt;

/// The place of a write among all that its writer wrote under a key.
///
/// The store may apply a write whose response was lost some seconds later. The revision orders writes
/// as they were applied, this order as they were sent. A writer that restarts has a later time of start
/// and counts anew.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct WriteOrder {
    /// Unix time of the writer's start in milliseconds.
    pub started_unix_ms: u64,
    /// The number of the write since the start.
    pub sequence: u64,
}

impl fmt::Display for WriteOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.started_unix_ms, self.sequence)
    }
}
