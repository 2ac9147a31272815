//! The explanation of a request that is not admitted.
//!
//! It runs the admission and the placement on copies of the state, with a copy of the random
//! generator, so nothing changes.

use super::attempts::placement_request;
use super::core::Core;
use super::core::enqueue;
use super::core::queued_request;
use super::engines::EngineClosure;
use super::engines::OpenAvailability;
use super::engines::ShareAvailability;
use super::model_queue::ModelQueue;
use super::schedule_request::OwnedScheduleRequest;
use super::ticket::TicketId;
use crate::Refusal;
use redwingrill_admission::queue::QueueOutlook;
use redwingrill_codes::ResultCode;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::placer::PlacementCost;

/// The ticket of a request that is not admitted; tickets are counted from zero.
const PLANNED_TICKET: TicketId = TicketId(u64::MAX);

/// What would be done with a request, and why.
#[derive(Clone, Debug)]
pub struct DispatchExplanation {
    /// The engine that it would be sent to; `None` if it would wait.
    pub decision: Result<Option<UpstreamId>, Refusal>,
    /// The queue that it would meet.
    pub queue: Option<QueueOutlook>,
    /// What its account would be charged, in tokens.
    pub cost_tokens: u64,
    /// The engines of the model.
    pub engines: Vec<EngineOption>,
}

/// One engine of a model.
#[derive(Clone, Copy, Debug)]
pub struct EngineOption {
    /// The engine.
    pub upstream: UpstreamId,
    /// Why it gets no requests.
    pub closure: Option<EngineClosure>,
    /// Whether it has capacity for the request.
    pub is_available: bool,
    /// The cost; `None` if the decision does not compare it by cost.
    pub cost: Option<PlacementCost>,
    /// Requests of this node there.
    pub in_flight: u32,
    /// How many this node may have there.
    pub limit: f64,
}

impl Core {
    /// Explains what would be done with a request that arrives now.
    pub(super) fn explain(
        &self,
        request: &OwnedScheduleRequest,
        now_ms: u64,
    ) -> DispatchExplanation {
        let (mut engines, mut limits) = (self.engines.clone(), self.limits.clone());
        engines.refresh(now_ms);
        let queue = self.queues.get(request.model).cloned();
        let mut queue = queue.unwrap_or_else(|| ModelQueue::new(&request.snapshot));
        let cost_tokens = queue.cost_tokens(request.prompt.tokens, request.max_tokens);
        let account = request.snapshot.state.accounts.get(request.account);
        let outlook = account.and_then(|account| {
            let weight = limits.local_weight(request.account, account.weight, now_ms);
            let queued = queued_request(PLANNED_TICKET, request, cost_tokens, now_ms).ok()?;
            queue.scheduler.outlook(request.priority, &queued, weight, now_ms)
        });
        let usable_share = queue.scheduler.usable_share(request.priority, now_ms);
        let placement_request = placement_request(request, &[]);
        let availability = ShareAvailability { engines: &engines, usable_share };
        let mut rng = self.rng.clone();
        let mut placed = self.placer.explain(&placement_request, &availability, now_ms, &mut rng);
        if placed.placement.is_none() {
            let availability = OpenAvailability(&engines);
            placed = self.placer.explain(&placement_request, &availability, now_ms, &mut rng);
        }
        let decision = if engines.serves(request.model) {
            enqueue(&mut limits, &mut queue, PLANNED_TICKET, request, now_ms).and_then(|_| {
                // Requests that may start before this one do so first.
                let capacity = engines.capacity(request.model);
                let mut started = std::iter::from_fn(|| queue.scheduler.pop(capacity, now_ms));
                let is_started = engines.any_open(request.model)
                    && started.any(|(_, request)| request.id.0 == PLANNED_TICKET.0);
                match (is_started, placed.placement) {
                    (false, _) => Ok(None),
                    (true, Some(placement)) => Ok(Some(placement.upstream)),
                    (true, None) => Err(ResultCode::NoUpstream.into()),
                }
            })
        } else {
            Err(ResultCode::NoUpstream.into())
        };
        let of_model = engines.iter().filter(|(_, slot)| slot.model == request.model);
        let options = of_model.map(|(upstream, slot)| {
            let known = placed.engines.iter().find(|known| known.upstream == upstream);
            EngineOption {
                upstream,
                closure: slot.closure(),
                is_available: known.is_some_and(|known| known.is_available),
                cost: known.and_then(|known| known.cost),
                in_flight: slot.in_flight,
                limit: slot.open_limit(),
            }
        });
        DispatchExplanation { decision, queue: outlook, cost_tokens, engines: options.collect() }
    }
}
