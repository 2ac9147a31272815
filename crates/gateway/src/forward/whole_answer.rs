//! Evidence that an answer is whole.
//!
//! The load pattern: upstreams that answer without length or chunks, and crash. The system closes
//! the connections of a process that ended in order, so the end of a connection does not tell a
//! whole answer from a cut one.
//!
//! Invariant: the caller's answer ends as complete only by a [`WholeAnswer`]. It comes from the mark
//! at the end of the upstream's answer or, where only the connection ended, from the upstream: it
//! answers another call afterwards, so it did not end with its connections.

use std::fmt;
use std::time::Duration;

use tokio::time::timeout;

use redwingrill_routing::LivenessCheck;
use redwingrill_routing::Upstream;
use redwingrill_transport::Framing;

/// How long an upstream may take to show that it runs. Health checks may wait behind its requests.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Shows that an upstream's answer was received to its end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[must_use]
pub struct WholeAnswer {
    _private: (),
}

/// Nothing shows that the answer is whole.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Unconfirmed {
    reason: String,
}

impl fmt::Display for Unconfirmed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "only the connection ended, and the upstream may have: {}", self.reason)
    }
}

impl WholeAnswer {
    /// Returns the evidence of an answer whose last byte was received; `None` if its framing does
    /// not mark the end.
    pub fn of_framing(framing: Framing) -> Option<Self> {
        framing.marks_end().then_some(Self { _private: () })
    }

    /// Returns the evidence of an answer whose last byte was received. Without a mark at its end,
    /// its upstream is asked for up to `wait` whether it still runs.
    ///
    /// # Errors
    ///
    /// [`Unconfirmed`] if the upstream does not answer.
    pub async fn confirm(
        framing: Framing,
        upstream: &Upstream,
        health_path: &str,
        check: &dyn LivenessCheck,
        wait: Duration,
    ) -> Result<Self, Unconfirmed> {
        if let Some(whole) = Self::of_framing(framing) {
            return Ok(whole);
        }
        let wait = wait.min(CONFIRMATION_TIMEOUT);
        match timeout(wait, check.confirm_running(upstream, health_path)).await {
            Ok(Ok(())) => Ok(Self { _private: () }),
            Ok(Err(e)) => Err(Unconfirmed { reason: e.to_string() }),
            Err(_) => {
                Err(Unconfirmed { reason: format!("no answer within {} ms", wait.as_millis()) })
            }
        }
    }
}
