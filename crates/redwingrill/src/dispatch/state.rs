//! The state of the dispatch task, for dumps.

use serde::Serialize;

use super::core::Core;
use redwingrill_admission::engines::HealthState;
use redwingrill_admission::limits::AccountState;
use redwingrill_admission::queue::SchedulerState;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::placer::PlacerState;

/// The state of the dispatch task, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct DispatchState {
    /// Admitted requests, queued or started.
    pub tickets: usize,
    /// Attempts that produced a first token.
    pub first_tokens: u64,
    /// Attempts that were replaced after a fault.
    pub replaced: u64,
    /// Requests refused before they started.
    pub refused: u64,
    /// Prompt tokens of successful requests.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines served from their caches.
    pub cached_tokens: u64,
    /// Retries spent from the budget.
    pub retries: u64,
    /// Requests that wait for the retry budget.
    pub retries_waiting: usize,
    /// The queues of the models.
    pub models: Vec<ModelQueueState>,
    /// The engines.
    pub engines: Vec<EngineSlotState>,
    /// The accounts with requests in flight.
    pub accounts: Vec<AccountState>,
    /// The state of the placer.
    pub placer: PlacerState,
}

/// The queues of one model.
#[derive(Clone, Debug, Serialize)]
pub struct ModelQueueState {
    /// The model.
    pub model: ModelId,
    /// The concurrent requests that its engines may have.
    pub places: u32,
    /// The scheduler state of each priority.
    pub priorities: Vec<SchedulerState>,
}

/// The state of one engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineSlotState {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its name.
    pub name: String,
    /// Requests of this node in flight.
    pub in_flight: u32,
    /// The limit in force; zero while the engine is closed.
    pub limit: f64,
    /// Its health.
    pub health: HealthState,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Core {
    /// Returns the state for a dump.
    pub(super) fn state(&self, now_ms: u64) -> DispatchState {
        let models = self.queues.iter().map(|(model, queue)| ModelQueueState {
            model,
            places: self.engines.capacity(model),
            priorities: queue.scheduler.state(),
        });
        let engines = self.engines.iter().map(|(upstream, slot)| EngineSlotState {
            upstream,
            name: self.upstream_name(upstream),
            in_flight: slot.in_flight,
            limit: slot.open_limit(),
            health: slot.health.state(),
            leaving: slot.leaving.any(),
        });
        DispatchState {
            tickets: self.tickets.len(),
            first_tokens: self.counts.first_tokens,
            replaced: self.counts.replaced,
            refused: self.counts.refused,
            prompt_tokens: self.counts.prompt_tokens,
            cached_tokens: self.counts.cached_tokens,
            retries: self.retries.budget().spent(),
            retries_waiting: self.retries.waiting(),
            models: models.collect(),
            engines: engines.collect(),
            accounts: self.limits.state(now_ms),
            placer: self.placer.state(),
        }
    }
}
