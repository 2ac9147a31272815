//! What requests and the dispatch task say to each other.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::DispatchState;
use crate::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_config::Snapshot;
use redwingrill_entity::AccountId;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_entity::UpstreamId;
use redwingrill_stream::Fault;
use redwingrill_stream::Usage;

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The configuration the request was received under.
    pub snapshot: &'a Arc<Snapshot>,
    /// The client account.
    pub account: AccountId,
    /// The priority.
    pub priority: PriorityId,
    /// The model.
    pub model: ModelId,
    /// The texts of the messages, in order.
    pub prompt: &'a [&'a str],
    /// The most tokens to generate, as far as known.
    pub max_tokens: u64,
}

/// The engine that a request goes to.
#[derive(Clone, Debug)]
pub struct EngineTarget {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The KV cache store to import the prefix from, if that is cheaper than computing it.
    pub import_from: Option<SocketAddr>,
}

/// A message to the dispatch task.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request asks to be admitted.
    Admit { ask: OwnedAsk, reply: oneshot::Sender<Result<Admitted, Refusal>> },
    /// A leg failed and the request asks for another engine.
    Replace {
        ticket: TicketId,
        fault: Fault,
        reply: oneshot::Sender<Result<EngineTarget, Refusal>>,
    },
    /// The first token of a leg arrived.
    FirstToken { ticket: TicketId },
    /// The request ended; `usage` is absent if it did not end well.
    Ended { ticket: TicketId, usage: Option<Usage> },
    /// Describe the state.
    Dump { reply: oneshot::Sender<DispatchState> },
}

/// A number that names a ticket within this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(crate) struct TicketId(pub u64);

/// An [`Ask`] as it crosses to the task.
#[derive(Debug)]
pub(crate) struct OwnedAsk {
    pub snapshot: Arc<Snapshot>,
    pub model: ModelId,
}

/// The task's answer to an admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub ticket: TicketId,
    pub engine: EngineTarget,
}

/// The way of requests to the dispatch task.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    messages: mpsc::UnboundedSender<Message>,
}

impl Dispatcher {
    pub(crate) fn new(messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { messages }
    }

    /// Waits until the request is admitted and an engine is chosen. Dropping the wait withdraws the
    /// request.
    ///
    /// # Errors
    ///
    /// The refusal, which always says "not run".
    pub async fn admit(&self, ask: &Ask<'_>) -> Result<Ticket, Refusal> {
        let owned = OwnedAsk { snapshot: ask.snapshot.clone(), model: ask.model };
        let (reply, answer) = oneshot::channel();
        self.send(Message::Admit { ask: owned, reply });
        let admitted = answer.await.map_err(|_| Refusal::new(ResultCode::Draining))??;
        Ok(Ticket {
            id: admitted.ticket,
            engine: admitted.engine,
            usage: None,
            dispatcher: self.clone(),
        })
    }

    /// Describes the state of the task; `None` once it has ended.
    pub async fn dump(&self) -> Option<DispatchState> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Dump { reply });
        answer.await.ok()
    }

    fn send(&self, message: Message) {
        // The task ends only after every request has; a late report has no reader and no use.
        let _ended = self.messages.send(message).is_err();
    }
}

/// The place of an admitted request. Dropping it frees the place.
#[derive(Debug)]
pub struct Ticket {
    id: TicketId,
    engine: EngineTarget,
    usage: Option<Usage>,
    dispatcher: Dispatcher,
}

impl Ticket {
    /// Returns the engine chosen.
    pub fn engine(&self) -> &EngineTarget {
        &self.engine
    }

    /// Reports the first token of the present leg.
    pub fn first_token(&self) {
        self.dispatcher.send(Message::FirstToken { ticket: self.id });
    }

    /// Asks for another engine after a fault of the present one.
    ///
    /// # Errors
    ///
    /// The refusal, if there is no other engine or the retry budget is spent.
    pub async fn replace(&mut self, fault: Fault) -> Result<(), Refusal> {
        let (reply, answer) = oneshot::channel();
        self.dispatcher.send(Message::Replace { ticket: self.id, fault, reply });
        self.engine = answer.await.map_err(|_| Refusal::new(ResultCode::Draining))??;
        Ok(())
    }

    /// Ends the request well.
    pub fn finish(mut self, usage: Option<Usage>) {
        self.usage = Some(usage.unwrap_or_default());
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.dispatcher.send(Message::Ended { ticket: self.id, usage: self.usage });
    }
}
