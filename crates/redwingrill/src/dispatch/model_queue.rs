//! The queue of one model and the mean length of its completions.

use redwingrill_admission::queue::PrioritySpec;
use redwingrill_admission::queue::Scheduler;
use redwingrill_config::Snapshot;

/// The estimated completion length of a model without completed requests.
const INITIAL_COMPLETION_TOKENS: f64 = 128.0;

/// The weight of a new completion in the exponential moving average of lengths.
const COMPLETION_EMA_WEIGHT: f64 = 0.05;

/// The queued requests of one model.
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

    /// Returns the tokens that a request is charged on admission.
    pub(super) fn cost_tokens(&self, prompt_tokens: u64, max_tokens: u64) -> u64 {
        prompt_tokens + max_tokens.min(self.mean_completion_tokens as u64)
    }

    /// Records the length of a completion.
    pub(super) fn record_completion(&mut self, tokens: u64) {
        self.mean_completion_tokens +=
            COMPLETION_EMA_WEIGHT * (tokens as f64 - self.mean_completion_tokens);
    }
}
