//! The attempts of started requests: choosing an engine, replacing it after a fault, recording the
//! first token and the end.

use log::debug;
use log::info;

use super::core::AdmittedRequest;
use super::core::Attempt;
use super::core::Core;
use super::core::Stage;
use super::engines::OpenAvailability;
use super::engines::ShareAvailability;
use super::messages::TargetSender;
use super::schedule_request::OwnedScheduleRequest;
use super::ticket::EngineTarget;
use super::ticket::TicketId;
use redwingrill_codes::ResultCode;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::placer::Finished;
use redwingrill_placement::placer::FirstToken;
use redwingrill_placement::placer::Placement;
use redwingrill_placement::placer::PlacementRequest;
use redwingrill_stream::Fault;
use redwingrill_stream::Usage;

impl Core {
    /// Places a queued request on an engine. Returns whether an engine was found.
    pub(super) fn start(&mut self, ticket: TicketId, now_ms: u64) -> bool {
        let Some(mut admitted) = self.tickets.remove(&ticket) else { return false };
        let Stage::Waiting(response) = std::mem::replace(&mut admitted.stage, Stage::Retrying)
        else {
            return false;
        };
        let request = placement_request(&admitted.request, &admitted.tried);
        let queue = self.queues.get(admitted.request.model);
        let usable =
            queue.map(|queue| queue.scheduler.usable_share(admitted.request.priority, now_ms));
        let availability =
            ShareAvailability { engines: &self.engines, usable_share: usable.unwrap_or(1.0) };
        let mut placed = self.placer.place(&request, &availability, now_ms, &mut self.rng);
        if placed.is_none() {
            let availability = OpenAvailability(&self.engines);
            placed = self.placer.place(&request, &availability, now_ms, &mut self.rng);
        }
        let Some(placement) = placed else {
            self.limits.finish(admitted.request.account, -(admitted.cost_tokens as i64));
            self.refuse(response, ResultCode::NoUpstream.into());
            return false;
        };
        admitted.started_ms = now_ms;
        let target = self.begin_attempt(&mut admitted, placement);
        let answered = response.send(Ok(target)).is_ok();
        // If the caller has disconnected, its ticket is dropped as well, which ends the request.
        debug!("event=started ticket={} answered={answered}", ticket.0);
        self.tickets.insert(ticket, admitted);
        true
    }

    fn begin_attempt(
        &mut self,
        admitted: &mut AdmittedRequest,
        placement: Placement,
    ) -> EngineTarget {
        self.engines.record_sent(placement.upstream);
        admitted.tried.push(placement.upstream);
        admitted.stage = Stage::Started(Attempt { placement, start: None, first_token_ms: None });
        self.target(&placement)
    }

    fn target(&self, placement: &Placement) -> EngineTarget {
        let upstreams = &self.snapshot.state.upstreams;
        let engine =
            upstreams.get(placement.upstream).expect("the placer returns configured engines only");
        let stores = upstreams.values().filter(|other| other.kind == UpstreamKind::CacheStore);
        // A store in the same failure domain is preferred.
        let store = stores.min_by_key(|store| store.domain != engine.domain);
        let store = store.filter(|_| placement.import_tokens > 0);
        EngineTarget {
            upstream: placement.upstream,
            name: engine.name.clone(),
            address: engine.address,
            import_from: store.map(|store| store.address),
        }
    }

    /// Queues a request for another engine after a fault.
    pub(super) fn replace(
        &mut self,
        ticket: TicketId,
        fault: Fault,
        response: TargetSender,
        now_ms: u64,
    ) {
        self.counts.replaced += 1;
        let Some(mut admitted) = self.tickets.remove(&ticket) else {
            self.refuse(response, ResultCode::Internal.into());
            return;
        };
        if let Stage::Started(attempt) = std::mem::replace(&mut admitted.stage, Stage::Retrying) {
            self.end_attempt(&admitted, &attempt, None, now_ms);
            let upstream = attempt.placement.upstream;
            if self.engines.record_fault(upstream, fault, now_ms) {
                info!(
                    "event=engine_ejected engine={} fault={fault:?}",
                    self.upstream_name(upstream)
                );
            }
        }
        self.tickets.insert(ticket, admitted);
        self.retries.push(ticket, response, now_ms);
        self.pump_retries(now_ms);
    }

    /// Starts retries as far as the retry budget allows.
    pub(super) fn pump_retries(&mut self, now_ms: u64) {
        while let Some(retry) = self.retries.pop() {
            let Some(mut admitted) = self.tickets.remove(&retry.ticket) else { continue };
            let placed = self.place_retry(&admitted, now_ms);
            let Some(placement) = placed else {
                self.tickets.insert(retry.ticket, admitted);
                self.retries.put_back(retry);
                return;
            };
            let target = self.begin_attempt(&mut admitted, placement);
            let _disconnected = retry.response.send(Ok(target)).is_err();
            self.tickets.insert(retry.ticket, admitted);
        }
    }

    /// Chooses an engine for a retry: an untried one if possible, otherwise any but the last.
    fn place_retry(&mut self, admitted: &AdmittedRequest, now_ms: u64) -> Option<Placement> {
        let last = admitted.tried.last().map_or(&[][..], std::slice::from_ref);
        for excluded in [&admitted.tried[..], last] {
            let request = placement_request(&admitted.request, excluded);
            let availability = OpenAvailability(&self.engines);
            let placed = self.placer.place(&request, &availability, now_ms, &mut self.rng);
            if placed.is_some() {
                return placed;
            }
        }
        None
    }

    /// Records the first token of an attempt.
    pub(super) fn first_token(
        &mut self,
        ticket: TicketId,
        start: Option<EngineStart>,
        now_ms: u64,
    ) {
        let Some(admitted) = self.tickets.get_mut(&ticket) else { return };
        let Stage::Started(attempt) = &mut admitted.stage else { return };
        let first_token_ms = now_ms.saturating_sub(attempt.placement.sent_ms);
        attempt.start = start;
        attempt.first_token_ms = Some(first_token_ms as f64);
        let observation = FirstToken {
            model: admitted.request.model,
            placement: &attempt.placement,
            prompt: &admitted.request.prompt,
            weights: admitted.request.weights,
            start,
            first_token_ms: first_token_ms as f64,
        };
        self.placer.first_token(&observation, now_ms);
        self.counts.first_tokens += 1;
        let priority = admitted.request.snapshot.state.priorities.get(admitted.request.priority);
        let target_ms = priority.map_or(u32::MAX, |priority| priority.first_token_target_ms);
        let is_late = first_token_ms > u64::from(target_ms);
        let model = admitted.request.model;
        if self.engines.record_first_token(attempt.placement.upstream, is_late, now_ms) {
            self.pump(model, now_ms);
        }
    }

    /// Ends an attempt; `usage` is present if it succeeded.
    pub(super) fn end_attempt(
        &mut self,
        admitted: &AdmittedRequest,
        attempt: &Attempt,
        usage: Option<Usage>,
        now_ms: u64,
    ) {
        self.engines.record_ended(attempt.placement.upstream);
        let observation = Finished {
            model: admitted.request.model,
            placement: &attempt.placement,
            prompt: &admitted.request.prompt,
            weights: admitted.request.weights,
            start: attempt.start,
            first_token_ms: attempt.first_token_ms,
            cached_tokens: usage.and_then(|usage| usage.cached_tokens()),
        };
        self.placer.finish(&observation, now_ms);
    }
}

pub(super) fn placement_request<'a>(
    request: &'a OwnedScheduleRequest,
    excluded: &'a [UpstreamId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        model: request.model,
        weights: request.weights,
        prompt: &request.prompt,
        output_tokens: request.max_tokens,
        excluded,
    }
}
