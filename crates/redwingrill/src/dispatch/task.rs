//! The task that owns the state of admission and placement.

use std::collections::HashMap;
use std::sync::Arc;

use log::debug;
use serde::Serialize;
use tokio::sync::mpsc;

use super::Dispatcher;
use super::EngineTarget;
use super::messages::Admitted;
use super::messages::Message;
use super::messages::OwnedAsk;
use super::messages::TicketId;
use crate::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_config::Snapshot;
use redwingrill_config::Upstream;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;

/// The state of the dispatch task, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct DispatchState {
    /// Requests with a ticket.
    pub tickets: usize,
    /// Legs that gave a first token.
    pub first_tokens: u64,
    /// Legs that were replaced after a fault.
    pub replaced: u64,
    /// Prompt tokens that engines found in their caches.
    pub cached_tokens: u64,
}

/// The dispatch task before it runs.
#[derive(Debug)]
pub struct Dispatch {
    messages: mpsc::UnboundedReceiver<Message>,
    tickets: HashMap<TicketId, Held>,
    in_flight: EntityMap<UpstreamId, u32>,
    next_ticket: u64,
    first_tokens: u64,
    replaced: u64,
    cached_tokens: u64,
}

#[derive(Debug)]
struct Held {
    snapshot: Arc<Snapshot>,
    model: ModelId,
    engine: UpstreamId,
    tried: Vec<UpstreamId>,
}

impl Dispatch {
    /// Makes the task and the way to it.
    pub fn new() -> (Dispatcher, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let task = Self {
            messages,
            tickets: HashMap::new(),
            in_flight: EntityMap::new(),
            next_ticket: 0,
            first_tokens: 0,
            replaced: 0,
            cached_tokens: 0,
        };
        (Dispatcher::new(sender), task)
    }

    /// Runs until every [`Dispatcher`] and ticket is gone.
    pub async fn run(mut self) {
        while let Some(message) = self.messages.recv().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Admit { ask, reply } => {
                let answer = self.admit(ask);
                if let Err(Ok(admitted)) = reply.send(answer) {
                    self.end(admitted.ticket);
                }
            }
            Message::Replace { ticket, fault, reply } => {
                debug!("event=engine_replaced fault={fault:?}");
                self.replaced += 1;
                let answer = self.replace(ticket);
                // A caller that is gone drops its ticket too.
                let _gone = reply.send(answer).is_err();
            }
            Message::FirstToken { ticket } => {
                self.first_tokens += u64::from(self.tickets.contains_key(&ticket));
            }
            Message::Ended { ticket, usage } => {
                self.cached_tokens += usage.and_then(|usage| usage.cached_tokens()).unwrap_or(0);
                self.end(ticket);
            }
            Message::Dump { reply } => {
                let state = self.state();
                let _gone = reply.send(state).is_err();
            }
        }
    }

    fn state(&self) -> DispatchState {
        DispatchState {
            tickets: self.tickets.len(),
            first_tokens: self.first_tokens,
            replaced: self.replaced,
            cached_tokens: self.cached_tokens,
        }
    }

    fn admit(&mut self, ask: OwnedAsk) -> Result<Admitted, Refusal> {
        let engine = self.choose(&ask.snapshot, ask.model, &[])?;
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let held = Held {
            snapshot: ask.snapshot,
            model: ask.model,
            engine: engine.upstream,
            tried: vec![engine.upstream],
        };
        self.tickets.insert(ticket, held);
        Ok(Admitted { ticket, engine })
    }

    fn replace(&mut self, ticket: TicketId) -> Result<EngineTarget, Refusal> {
        let Some(mut held) = self.tickets.remove(&ticket) else {
            return Err(ResultCode::Internal.into());
        };
        self.release(held.engine);
        let engine = self.choose(&held.snapshot, held.model, &held.tried);
        if let Ok(engine) = &engine {
            held.engine = engine.upstream;
            held.tried.push(engine.upstream);
            self.tickets.insert(ticket, held);
        }
        engine
    }

    fn end(&mut self, ticket: TicketId) {
        if let Some(held) = self.tickets.remove(&ticket) {
            self.release(held.engine);
        }
    }

    fn release(&mut self, upstream: UpstreamId) {
        if let Some(count) = self.in_flight.get_mut(upstream) {
            *count -= 1;
        }
    }

    fn choose(
        &mut self,
        snapshot: &Snapshot,
        model: ModelId,
        tried: &[UpstreamId],
    ) -> Result<EngineTarget, Refusal> {
        let engines = snapshot.state.upstreams.iter();
        let usable = engines.filter(|(id, engine)| serves(engine, model) && !tried.contains(id));
        let least = usable.min_by_key(|(id, _)| self.in_flight.get(*id).copied().unwrap_or(0));
        let (upstream, engine) = least.ok_or(ResultCode::NoUpstream)?;
        *self.in_flight.get_or_insert_with(upstream, || 0) += 1;
        Ok(EngineTarget {
            upstream,
            name: engine.name.clone(),
            address: engine.address,
            import_from: None,
        })
    }
}

fn serves(upstream: &Upstream, model: ModelId) -> bool {
    upstream.kind == UpstreamKind::Engine && upstream.model == Some(model) && !upstream.drained
}
