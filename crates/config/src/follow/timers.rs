//! Timers of the follower's periodic and pending tasks.

use std::time::Duration;

use tokio::time::Instant;

/// The due time of one task, if it is scheduled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer {
    due: Option<Instant>,
}

impl Timer {
    /// Schedules the task after a delay, replacing any earlier schedule.
    pub fn set(&mut self, delay: Duration) {
        self.due = Some(Instant::now() + delay);
    }

    /// Schedules the task after a delay, unless it is already due earlier.
    pub fn bring_forward(&mut self, delay: Duration) {
        let due = Instant::now() + delay;
        self.due = Some(self.due.map_or(due, |current| current.min(due)));
    }

    /// Cancels the task.
    pub fn clear(&mut self) {
        self.due = None;
    }

    /// Returns whether the task is due, and clears the timer if it is.
    pub fn take_due(&mut self) -> bool {
        let due = self.due.is_some_and(|due| due <= Instant::now());
        if due {
            self.due = None;
        }
        due
    }
}

/// The timers of a follower.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// A check of the generation that peers have in force.
    pub peer: Timer,
    /// A poll of the manifest in the store.
    pub poll: Timer,
    /// A round of fetching the pending manifest's chunks.
    pub fetch: Timer,
    /// A repair of the store.
    pub repair: Timer,
}

impl Timers {
    /// Creates timers with the peer check and the poll due at `now`.
    pub fn starting_at(now: Instant) -> Self {
        let due = Timer { due: Some(now) };
        Self { peer: due, poll: due, fetch: Timer::default(), repair: Timer::default() }
    }

    /// Returns the due time of the next task.
    pub fn next(&self) -> Instant {
        let timers = [self.peer, self.poll, self.fetch, self.repair];
        let due = timers.iter().filter_map(|timer| timer.due).min();
        due.expect("the peer check is always scheduled")
    }
}
