//! Faults that a test switches on.

use std::time::Duration;

/// How writes fail.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum WriteFault {
    /// Writes work.
    #[default]
    None,
    /// Writes take effect and their answer is lost.
    LoseResponse,
    /// Writes do not take effect and their answer is lost.
    LoseRequest,
}

/// The faults in force at a [`MemoryStore`](crate::MemoryStore).
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// Every call fails as unavailable, and open watches report nothing.
    pub down: bool,
    /// Every call waits this long before it takes effect.
    pub delay: Duration,
    /// Every call and watch hangs without an answer.
    pub frozen: bool,
    /// Open watches report nothing more, while new ones work.
    pub silent_watches: bool,
    /// How writes fail.
    pub write: WriteFault,
    /// Calls allowed in any second; zero for no limit.
    pub calls_per_s_limit: u32,
}
