//! Whether a node has followed the store without a gap.
//!
//! A node that was suspended, or had no contact with the store, learns late of a change. What it
//! learns then may have happened at any time since its last contact.

/// The longest time between two runs of the task of a node that is not suspended.
const SUSPENSION_MS: u64 = 1_000;

/// The longest time between two responses of a store that is in contact: a long poll without
/// changes and its delay.
const CONTACT_MS: u64 = 3_000;

/// Tracks the node's contact with the store. Times are in milliseconds on the node's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Continuity {
    ran_ms: u64,
    // The last response of the store; `None` before the first one.
    contact_ms: Option<u64>,
    was_suspended: bool,
}

impl Continuity {
    /// Records that the task runs.
    pub fn record_run(&mut self, now_ms: u64) {
        self.was_suspended |= now_ms.saturating_sub(self.ran_ms) > SUSPENSION_MS;
        self.ran_ms = now_ms;
    }

    /// Records a response of the store. Returns whether the changes in it happened just now: there
    /// was no gap since the last response.
    pub fn record_contact(&mut self, now_ms: u64) -> bool {
        self.record_run(now_ms);
        let previous_ms = self.contact_ms.replace(now_ms);
        let was_suspended = std::mem::take(&mut self.was_suspended);
        let in_contact =
            previous_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= CONTACT_MS);
        in_contact && !was_suspended
    }
}
