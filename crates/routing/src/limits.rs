//! Limits on what callers send.

use std::time::Duration;

/// Limits on what callers send and how long they take.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// The longest header section.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
    /// The time to send the header section.
    pub header_timeout: Duration,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    // In force until a configuration tells otherwise.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
