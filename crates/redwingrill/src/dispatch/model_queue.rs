//! The waiting requests of one model, and what its answers are usually like.

use redwingrill_admission::queue::PrioritySpec;
use redwingrill_admission::queue::Scheduler;
use redwingrill_config::Snapshot;

/// The first guess of an answer's length.
const INITIAL_COMPLETION_TOKENS: f64 = 128.0;

const COMPLETION_EMA_WEIGHT: f64 = 0.05;

/// What waits for one model.
#[derive(Clone, Debug)]
pub(super) struct ModelQueue {
    pub(super) scheduler: Scheduler,
    mean_completion_tokens: f64,
}

impl ModelQueue {
    pub(super) fn new(snapshot: &Snapshot) -> Self {
        let mut queue = Self {
            scheduler: Scheduler::default(),
            mean_completion_tokens: INITIAL_COMPLETION_TOKENS,
        };
        queue.configure(snapshot);
        queue
    }

    pub(super) fn configure(&mut self, snapshot: &Snapshot) {
        let priorities = snapshot.state.priorities.iter();
        self.scheduler.configure(priorities.map(|(id, priority)| PrioritySpec {
            priority: id,
            level: priority.level,
            floor_percent: priority.floor_percent,
        }));
    }

    /// Returns the tokens that a request is charged with when it is let in.
    pub(super) fn cost_tokens(&self, prompt_tokens: u64, max_tokens: u64) -> u64 {
        prompt_tokens + max_tokens.min(self.mean_completion_tokens as u64)
    }

    /// Takes in the length of an answer.
    pub(super) fn record_completion(&mut self, tokens: u64) {
        self.mean_completion_tokens +=
            COMPLETION_EMA_WEIGHT * (tokens as f64 - self.mean_completion_tokens);
    }
}
