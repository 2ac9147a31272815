//! Faults that a test can inject.

use std::time::Duration;

/// The fault of writes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum WriteFault {
    /// Writes succeed.
    #[default]
    None,
    /// Writes take effect, but their response is lost.
    LoseResponse,
    /// Writes are lost before they take effect.
    LoseRequest,
}

/// The active faults of a [`MemoryStore`](crate::MemoryStore).
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// Every call fails as unavailable, and open watches report no changes.
    pub down: bool,
    /// The delay before each call takes effect.
    pub delay: Duration,
    /// Every call and watch hangs without a response.
    pub frozen: bool,
    /// Watches that are open when the fault is set report no more changes, while new ones work.
    pub silent_watches: bool,
    /// The fault of writes.
    pub write: WriteFault,
    /// The limit of calls in each one-second window; zero for no limit.
    pub calls_per_s_limit: u32,
}
