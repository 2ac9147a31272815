//! The legs of started requests: the choice of an engine, its replacement after a fault, the first
//! token, the end.

use log::debug;
use log::info;

use super::ask::OwnedAsk;
use super::core::Core;
use super::core::Held;
use super::core::Leg;
use super::core::Stage;
use super::engines::OpenGate;
use super::engines::ShareGate;
use super::messages::EngineReply;
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
    /// Sends a waiting request to an engine. Returns whether it was.
    pub(super) fn start(&mut self, ticket: TicketId, now_ms: u64) -> bool {
        let Some(mut held) = self.tickets.remove(&ticket) else { return false };
        let Stage::Waiting(reply) = std::mem::replace(&mut held.stage, Stage::Retrying) else {
            return false;
        };
        let request = place_request(&held.ask, &held.tried);
        let queue = self.queues.get(held.ask.model);
        let usable = queue.map(|queue| queue.scheduler.usable_share(held.ask.priority, now_ms));
        let gate = ShareGate { engines: &self.engines, usable_share: usable.unwrap_or(1.0) };
        let mut placed = self.placer.place(&request, &gate, now_ms, &mut self.rng);
        if placed.is_none() {
            let gate = OpenGate(&self.engines);
            placed = self.placer.place(&request, &gate, now_ms, &mut self.rng);
        }
        let Some(placement) = placed else {
            self.limits.finish(held.ask.account, -(held.cost_tokens as i64));
            self.refuse(reply, ResultCode::NoUpstream.into());
            return false;
        };
        held.started_ms = now_ms;
        let target = self.begin_leg(&mut held, placement);
        let answered = reply.send(Ok(target)).is_ok();
        // A caller that is gone drops its ticket too, which ends the request.
        debug!("event=started ticket={} answered={answered}", ticket.0);
        self.tickets.insert(ticket, held);
        true
    }

    fn begin_leg(&mut self, held: &mut Held, placement: Placement) -> EngineTarget {
        self.engines.sent(placement.upstream);
        held.tried.push(placement.upstream);
        held.stage = Stage::Started(Leg { placement, start: None, first_token_ms: None });
        self.target(&placement)
    }

    fn target(&self, placement: &Placement) -> EngineTarget {
        let upstreams = &self.snapshot.state.upstreams;
        let engine = upstreams.get(placement.upstream).expect("placed engines are configured");
        let stores = upstreams.values().filter(|other| other.kind == UpstreamKind::CacheStore);
        // A store in the same failure domain is nearer.
        let store = stores.min_by_key(|store| store.domain != engine.domain);
        let store = store.filter(|_| placement.import_tokens > 0);
        EngineTarget {
            upstream: placement.upstream,
            name: engine.name.clone(),
            address: engine.address,
            import_from: store.map(|store| store.address),
        }
    }

    /// Looks for another engine after a fault.
    pub(super) fn replace(
        &mut self,
        ticket: TicketId,
        fault: Fault,
        reply: EngineReply,
        now_ms: u64,
    ) {
        self.counts.replaced += 1;
        let Some(mut held) = self.tickets.remove(&ticket) else {
            self.refuse(reply, ResultCode::Internal.into());
            return;
        };
        if let Stage::Started(leg) = std::mem::replace(&mut held.stage, Stage::Retrying) {
            self.end_leg(&held, &leg, None, now_ms);
            let upstream = leg.placement.upstream;
            if self.engines.failed(upstream, fault, now_ms) {
                info!("event=engine_ejected engine={} fault={fault:?}", self.name_of(upstream));
            }
        }
        self.tickets.insert(ticket, held);
        self.retries.push(ticket, reply, now_ms);
        self.pump_retries(now_ms);
    }

    /// Replaces engines as far as the retry budget pays.
    pub(super) fn pump_retries(&mut self, now_ms: u64) {
        while let Some(retry) = self.retries.pop() {
            let Some(mut held) = self.tickets.remove(&retry.ticket) else { continue };
            let placed = self.place_again(&held, now_ms);
            let Some(placement) = placed else {
                self.tickets.insert(retry.ticket, held);
                self.retries.put_back(retry);
                return;
            };
            let target = self.begin_leg(&mut held, placement);
            let _gone = retry.reply.send(Ok(target)).is_err();
            self.tickets.insert(retry.ticket, held);
        }
    }

    /// Prefers engines that were not tried, then any but the last.
    fn place_again(&mut self, held: &Held, now_ms: u64) -> Option<Placement> {
        let last = held.tried.last().map_or(&[][..], std::slice::from_ref);
        for excluded in [&held.tried[..], last] {
            let request = place_request(&held.ask, excluded);
            let gate = OpenGate(&self.engines);
            let placed = self.placer.place(&request, &gate, now_ms, &mut self.rng);
            if placed.is_some() {
                return placed;
            }
        }
        None
    }

    /// Takes in the first token of a leg.
    pub(super) fn first_token(
        &mut self,
        ticket: TicketId,
        start: Option<EngineStart>,
        now_ms: u64,
    ) {
        let Some(held) = self.tickets.get_mut(&ticket) else { return };
        let Stage::Started(leg) = &mut held.stage else { return };
        let first_token_ms = now_ms.saturating_sub(leg.placement.sent_ms);
        leg.start = start;
        leg.first_token_ms = Some(first_token_ms as f64);
        let fact = FirstToken {
            model: held.ask.model,
            placement: &leg.placement,
            prompt: &held.ask.prompt,
            weights: held.ask.weights,
            start,
            first_token_ms: first_token_ms as f64,
        };
        self.placer.first_token(&fact, now_ms);
        self.counts.first_tokens += 1;
        let priority = held.ask.snapshot.state.priorities.get(held.ask.priority);
        let target_ms = priority.map_or(u32::MAX, |priority| priority.first_token_target_ms);
        let is_late = first_token_ms > u64::from(target_ms);
        let model = held.ask.model;
        if self.engines.first_token(leg.placement.upstream, is_late, now_ms) {
            self.pump(model, now_ms);
        }
    }

    /// Ends a leg, well if `usage` is there.
    pub(super) fn end_leg(&mut self, held: &Held, leg: &Leg, usage: Option<Usage>, now_ms: u64) {
        self.engines.ended(leg.placement.upstream);
        let fact = Finished {
            model: held.ask.model,
            placement: &leg.placement,
            prompt: &held.ask.prompt,
            weights: held.ask.weights,
            start: leg.start,
            first_token_ms: leg.first_token_ms,
            cached_tokens: usage.and_then(|usage| usage.cached_tokens()),
        };
        self.placer.finish(&fact, now_ms);
    }
}

fn place_request<'a>(ask: &'a OwnedAsk, excluded: &'a [UpstreamId]) -> PlacementRequest<'a> {
    PlacementRequest {
        model: ask.model,
        weights: ask.weights,
        prompt: &ask.prompt,
        output_tokens: ask.max_tokens,
        excluded,
    }
}
