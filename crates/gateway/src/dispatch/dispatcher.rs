//! The way of requests to the dispatch task.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Attempt;
use redwingrill_routing::CacheChange;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::ReportedLoad;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::scheduler::Ask;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::LegOutcome;
use redwingrill_scheduling::scheduler::RefusalCause;

/// The pause that a caller is told while the node stops.
const STOPPING_RETRY_AFTER_MS: u64 = 300;

/// Why a request asks for an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// It has not been sent; it waits for room.
    First,
    /// It was sent and has not run, or may be run again; it waits for room.
    Retry,
    /// It was sent and is still awaited; it moves only if there is room now.
    Move,
}

/// A message to the dispatch task.
#[derive(Debug)]
pub(super) enum Message {
    /// A request came for a service.
    CountRequest { service: String, prompt: Option<Arc<DeclaredPrompt>> },
    /// A request asks for an upstream.
    Choose { request: Box<Ask>, purpose: Purpose, responder: oneshot::Sender<Choice> },
    /// The head of a reply came.
    ResponseHead {
        index: UpstreamIndex,
        model: Option<String>,
        load: Option<ReportedLoad>,
        version: Option<WeightsVersion>,
    },
    /// The upstream has read the prompt.
    Prefilled { assignment: Box<Assignment> },
    /// A send ended.
    AttemptEnded {
        index: UpstreamIndex,
        pending_prefill_tokens: u64,
        held_tokens: u64,
        outcome: LegOutcome,
    },
    /// Another node told of its requests.
    PeerDigest { digest: LoadDigest },
    /// Tell of this node's requests.
    Digest { responder: oneshot::Sender<LoadDigest> },
    /// The cache store changed.
    CacheStoreChanged { changes: Vec<CacheChange> },
    /// The cache store starts anew, or is not heard.
    CacheStoreEpoch { epoch: Option<u64> },
    /// Refuse what waits.
    RefuseQueued,
    /// Describe the state.
    Dump { responder: oneshot::Sender<serde_json::Value> },
    /// Tell the load of each upstream.
    Loads { responder: oneshot::Sender<Vec<(String, u32)>> },
}

impl Message {
    /// Returns whether a request that waits may find room after this message.
    pub(super) fn may_free_capacity(&self) -> bool {
        matches!(self, Self::Prefilled { .. } | Self::AttemptEnded { .. } | Self::PeerDigest { .. })
    }
}

/// The way of requests to the dispatch task. Clones share it.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    messages: mpsc::UnboundedSender<Message>,
}

impl Dispatcher {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { messages }
    }

    /// Counts a request of a service.
    pub fn count_request(&self, service: &str, prompt: Option<Arc<DeclaredPrompt>>) {
        self.send(Message::CountRequest { service: service.to_owned(), prompt });
    }

    /// Asks for an upstream, and waits for room if the purpose allows it. A send that is not the
    /// first draws on the bound on repeats.
    ///
    /// # Errors
    ///
    /// The cause of a refusal and when the request is best sent again, in milliseconds.
    pub async fn choose(
        &self,
        request: Ask,
        purpose: Purpose,
    ) -> Result<Attempt, (RefusalCause, u64)> {
        let (responder, response) = oneshot::channel();
        let model = request.prompt.as_ref().map(|prompt| prompt.model.clone());
        self.send(Message::Choose { request: Box::new(request), purpose, responder });
        match response.await {
            Ok(Choice::Send(assignment)) => Ok(Attempt::new(self.clone(), *assignment, model)),
            Ok(Choice::Refuse { cause, retry_after_ms }) => Err((cause, retry_after_ms)),
            // A wait is never an answer; the task has ended.
            Ok(Choice::Wait) | Err(_) => Err((RefusalCause::NoUpstream, STOPPING_RETRY_AFTER_MS)),
        }
    }

    /// Takes in what another node told of its requests.
    pub fn observe_peer(&self, digest: LoadDigest) {
        self.send(Message::PeerDigest { digest });
    }

    /// Returns what other nodes are told of this node's requests.
    pub async fn digest(&self) -> Option<LoadDigest> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Digest { responder });
        response.await.ok()
    }

    /// Tells what changed in the cache store.
    pub fn cache_store_changed(&self, changes: Vec<CacheChange>) {
        self.send(Message::CacheStoreChanged { changes });
    }

    /// Tells that the cache store is heard and starts anew, or is not heard.
    pub fn set_cache_store_epoch(&self, epoch: Option<u64>) {
        self.send(Message::CacheStoreEpoch { epoch });
    }

    /// Refuses the requests that wait: the node stops, and others have room.
    pub fn refuse_queued(&self) {
        self.send(Message::RefuseQueued);
    }

    /// Describes the state of the task; `None` once it has ended.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Dump { responder });
        response.await.ok()
    }

    /// Returns the load of each upstream by its identity.
    pub async fn loads(&self) -> Vec<(String, u32)> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Loads { responder });
        response.await.unwrap_or_default()
    }

    pub(super) fn send(&self, message: Message) {
        // The task ends after the requests; a late report has no reader and no use.
        let _disconnected = self.messages.send(message).is_err();
    }
}
