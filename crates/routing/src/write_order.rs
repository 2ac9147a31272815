//! The order in which a writer said what it wrote.

use std::fmt;

/// The place of a write among all that its writer wrote under a key.
///
/// The store does a write whose response was lost up to some seconds later. Its revision then tells
/// when the write was done, and this order when it was said. The order counts within a writer that
/// starts anew with a later time of start.
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
