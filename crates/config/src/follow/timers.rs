//! When the follower's duties are due.

use std::time::Duration;

use tokio::time::Instant;

/// One duty that is due at a time, or not at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer {
    due: Option<Instant>,
}

impl Timer {
    /// Makes the duty due after a pause, in place of any time before.
    pub fn set(&mut self, delay: Duration) {
        self.due = Some(Instant::now() + delay);
    }

    /// Makes the duty due after a pause unless it is due earlier.
    pub fn bring_forward(&mut self, delay: Duration) {
        let due = Instant::now() + delay;
        self.due = Some(self.due.map_or(due, |current| current.min(due)));
    }

    /// Makes the duty not due at all.
    pub fn clear(&mut self) {
        self.due = None;
    }

    /// Returns whether the duty is due now, and if so clears it.
    pub fn take_due(&mut self) -> bool {
        let due = self.due.is_some_and(|due| due <= Instant::now());
        if due {
            self.due = None;
        }
        due
    }
}

/// The duties of a follower.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// A look at what peers have in force.
    pub peer: Timer,
    /// A read of the manifest in the store.
    pub poll: Timer,
    /// A round of fetching the pending manifest's chunks.
    pub fetch: Timer,
    /// A repair of the store.
    pub repair: Timer,
}

impl Timers {
    /// Makes looks at peers and store due at once.
    pub fn starting_at(now: Instant) -> Self {
        let due = Timer { due: Some(now) };
        Self { peer: due, poll: due, fetch: Timer::default(), repair: Timer::default() }
    }

    /// Returns when the next duty is due.
    pub fn next(&self) -> Instant {
        let timers = [self.peer, self.poll, self.fetch, self.repair];
        let due = timers.iter().filter_map(|timer| timer.due).min();
        due.expect("looks at peers are always due at some time")
    }
}
