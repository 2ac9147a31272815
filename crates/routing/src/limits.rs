//! Limits on caller connections and requests.

use std::time::Duration;

/// Limits on the size and duration of what callers send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// The maximum size of the header section.
    pub header_bytes: usize,
    /// The maximum size of the body.
    pub body_bytes: usize,
    /// The time within which the header section must arrive.
    pub header_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    // Apply until a configuration sets other limits.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
