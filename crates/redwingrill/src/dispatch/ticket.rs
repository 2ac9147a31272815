//! Tickets of admitted requests.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::messages::Dispatcher;
use super::messages::Message;
use crate::Refusal;
use redwingrill_codes::ResultCode;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::Incarnation;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_stream::Fault;
use redwingrill_stream::Usage;

/// The identifier of a ticket, unique within this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub(super) struct TicketId(pub(super) u64);

/// The engine chosen for a request.
#[derive(Clone, Debug)]
pub struct EngineTarget {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The KV cache store to import the prefix from, if that is cheaper than prefilling it.
    pub import_from: Option<SocketAddr>,
}

/// An admitted request. Dropping the ticket ends the request and releases its capacity.
#[derive(Debug)]
pub struct Ticket {
    id: TicketId,
    engine: Option<EngineTarget>,
    usage: Option<Usage>,
    dispatcher: Dispatcher,
}

impl Ticket {
    /// Creates the ticket of a request that is about to be queued.
    pub(super) fn waiting(id: TicketId, dispatcher: Dispatcher) -> Self {
        Self { id, engine: None, usage: None, dispatcher }
    }

    pub(super) fn started(&mut self, engine: EngineTarget) {
        self.engine = Some(engine);
    }

    /// Returns the chosen engine.
    ///
    /// # Panics
    ///
    /// Never for a ticket that [`Dispatcher::admit`] returned.
    pub fn engine(&self) -> &EngineTarget {
        self.engine.as_ref().expect("an admitted request has an engine")
    }

    /// Reports the first token of the current attempt, with the incarnation and the weights version
    /// from the engine's response.
    pub fn first_token(&self, incarnation: &str, weights_version: &str) {
        let has_identity = !incarnation.is_empty() && !weights_version.is_empty();
        let start = has_identity.then(|| EngineStart {
            incarnation: Incarnation::parse(incarnation),
            weights: WeightsTag::of(weights_version),
        });
        self.dispatcher.send(Message::FirstToken { ticket: self.id, start });
    }

    /// Requests another engine after a fault of the current one.
    ///
    /// # Errors
    ///
    /// The refusal, if there is no other engine or the retry budget is exhausted.
    pub async fn replace(&mut self, fault: Fault) -> Result<(), Refusal> {
        let (response, receiver) = oneshot::channel();
        self.dispatcher.send(Message::Replace { ticket: self.id, fault, response });
        let engine = receiver.await.map_err(|_| Refusal::new(ResultCode::Draining))??;
        self.engine = Some(engine);
        Ok(())
    }

    /// Ends the request successfully.
    pub fn finish(mut self, usage: Option<Usage>) {
        self.usage = Some(usage.unwrap_or_default());
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.dispatcher.send(Message::Ended { ticket: self.id, usage: self.usage });
    }
}
