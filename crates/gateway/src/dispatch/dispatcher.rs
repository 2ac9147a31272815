//! The handle through which requests reach the dispatch task.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Attempt;
use super::Charge;
use super::QuotaRefusal;
use super::charge::ChargeResponder;
use redwingrill_admission::limits::fleet::QuotaCharge;
use redwingrill_admission::limits::fleet::QuotaMessage;
use redwingrill_routing::AccountTag;
use redwingrill_routing::CacheChange;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::ReportedLoad;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamSignals;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::coordination::PlannedInquiry;
use redwingrill_scheduling::engine_model::RouteTag;
use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Explanation;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::stream_origins::OriginMessage;
use redwingrill_scheduling::stream_origins::OriginResolution;
use redwingrill_scheduling::stream_origins::StreamKey;
use redwingrill_scheduling::stream_origins::StreamOrigin;

/// The retry-after of refusals while the node stops.
const STOPPING_RETRY_AFTER_MS: u64 = 300;

/// Why a request needs an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// The first attempt; it may wait for capacity.
    First,
    /// A retry after an attempt that did not run, or that may run again; it may wait for capacity.
    Retry,
    /// A move away from an attempt without response; only if an upstream has capacity now.
    Move,
}

/// What the roll-out needs to know of an upstream.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct UpstreamLoad {
    /// The known requests there.
    pub requests: u32,
    /// How long its weights may still be used, by model, if a newer version supersedes them, in
    /// milliseconds.
    pub usable_ms: HashMap<String, u64>,
}

/// The decision on a request in the view of this node.
#[derive(Clone, Debug)]
pub struct DecisionView {
    /// The node that would be asked, and its group; `None` if this node decides by itself.
    pub inquiry: Option<PlannedInquiry>,
    /// Whether this node is the coordinator, so that the explanation is that of the decision itself.
    pub is_coordinator: bool,
    /// The explanation.
    pub explanation: Explanation,
}

/// An attempt as evidence for or against the parts of its prompt.
#[derive(Debug)]
pub(super) struct AttemptEvidence {
    pub upstream: Arc<Upstream>,
    pub prompt: Arc<DeclaredPrompt>,
    /// When the attempt was assigned, in milliseconds on the node's clock.
    pub sent_ms: u64,
}

/// A refusal: its cause, and the delay in milliseconds after which the caller should retry.
pub(super) type ChoiceRefusal = (RefusalCause, u64);

/// Returns the choice to a request. An assignment is handed over as an [`Attempt`]: if the request
/// ends before it takes the attempt, the place is given back.
#[derive(Debug)]
pub(super) struct Responder {
    sender: oneshot::Sender<Result<Attempt, ChoiceRefusal>>,
    prompt: Option<Arc<DeclaredPrompt>>,
}

impl Responder {
    /// Returns whether the request has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Responds with a choice.
    pub fn respond(self, dispatcher: &Dispatcher, choice: Choice) {
        let response = match choice {
            Choice::Send(assignment) => {
                Ok(Attempt::new(dispatcher.clone(), *assignment, self.prompt))
            }
            Choice::Refuse { cause, retry_after_ms } => Err((cause, retry_after_ms)),
            // It is never a response; the request ends as if the task had ended.
            Choice::Wait => return,
        };
        let _disconnected = self.sender.send(response).is_err();
    }
}

/// A message to the dispatch task.
#[derive(Debug)]
pub(super) enum Message {
    /// A request for a service arrived.
    CountRequest {
        service: String,
        route: RouteTag,
        prompt: Option<Arc<DeclaredPrompt>>,
        target_ms: u64,
    },
    /// A request needs an upstream.
    Choose { request: Box<ScheduleRequest>, purpose: Purpose, responder: Responder },
    /// A response head arrived.
    ResponseHead {
        index: UpstreamIndex,
        model: Option<String>,
        load: Option<ReportedLoad>,
        version: Option<WeightsVersion>,
    },
    /// What an upstream says of itself in an answer.
    Signals {
        index: UpstreamIndex,
        signals: Box<UpstreamSignals>,
        /// When the request of the answer was sent, in milliseconds on the node's clock.
        sent_ms: u64,
    },
    /// The upstream has prefilled the prompt.
    Prefilled { assignment: Box<Assignment> },
    /// A stream of the service ended well.
    StreamEnded {
        index: UpstreamIndex,
        service: String,
        longest_pause_ms: u64,
        mean_pause_ms: Option<f64>,
    },
    /// An attempt ended.
    AttemptEnded {
        index: UpstreamIndex,
        pending_prefill_tokens: u64,
        reserved_tokens: u64,
        outcome: AttemptOutcome,
    },
    /// The connection of an attempt broke after the upstream had the request.
    AttemptBroken { evidence: Box<AttemptEvidence> },
    /// The answer of an attempt was received whole.
    AttemptCompleted { evidence: Box<AttemptEvidence> },
    /// An engine reported its weights.
    Weights { upstream: Arc<Upstream>, versions: Vec<(String, WeightsVersion)> },
    /// A load digest arrived from another node.
    PeerDigest { from: SocketAddr, digest: Box<LoadDigest> },
    /// A message of the coordination arrived from another node.
    Coordination { from: SocketAddr, message: Box<CoordinationMessage> },
    /// A message of the quotas arrived from another node.
    Quota { from: SocketAddr, message: QuotaMessage },
    /// A request of an account with a quota needs tokens.
    Charge { account: AccountTag, tokens: u64, responder: ChargeResponder },
    /// A request that was charged did not run.
    Refund { charge: QuotaCharge },
    /// The first events of a stream are about to be forwarded.
    StreamBegan { key: StreamKey, origin: StreamOrigin },
    /// Requests the origin of a stream.
    FindStream { key: StreamKey, responder: oneshot::Sender<OriginResolution> },
    /// A message of the directory of stream origins arrived from another node.
    Origin { from: SocketAddr, message: OriginMessage },
    /// Requests the load digest of this node.
    Digest { responder: oneshot::Sender<LoadDigest> },
    /// The cache store changed.
    CacheStoreChanged { changes: Vec<CacheChange> },
    /// The cache store started a new epoch, or is disconnected.
    CacheStoreEpoch { epoch: Option<u64> },
    /// Refuses the queued requests.
    RefuseQueued,
    /// Requests a dump of the state.
    Dump { responder: oneshot::Sender<serde_json::Value> },
    /// Requests the explanation of the decision on a request.
    Explain { request: Box<ScheduleRequest>, responder: oneshot::Sender<DecisionView> },
    /// Requests the load of each upstream.
    Loads { responder: oneshot::Sender<HashMap<String, UpstreamLoad>> },
}

impl Message {
    /// Returns whether this message may free capacity for a queued request.
    pub(super) fn may_free_capacity(&self) -> bool {
        matches!(self, Self::Prefilled { .. } | Self::AttemptEnded { .. } | Self::PeerDigest { .. })
    }
}

/// The handle of the dispatch task. Clones share the task.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    messages: mpsc::UnboundedSender<Message>,
}

impl Dispatcher {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { messages }
    }

    /// Counts a request for a service by a route with a latency target, and its prompt.
    pub fn count_request(
        &self,
        service: &str,
        route: RouteTag,
        prompt: Option<Arc<DeclaredPrompt>>,
        target: Duration,
    ) {
        let target_ms = target.as_millis() as u64;
        self.send(Message::CountRequest { service: service.to_owned(), route, prompt, target_ms });
    }

    /// Chooses an upstream, and waits for capacity if the purpose allows it. Every attempt but the
    /// first draws on the retry budget.
    ///
    /// # Errors
    ///
    /// The cause of a refusal, and the delay in milliseconds after which the caller should retry.
    pub async fn choose(
        &self,
        request: ScheduleRequest,
        purpose: Purpose,
    ) -> Result<Attempt, (RefusalCause, u64)> {
        let (sender, response) = oneshot::channel();
        let responder = Responder { sender, prompt: request.prompt.clone() };
        self.send(Message::Choose { request: Box::new(request), purpose, responder });
        // A closed channel means that the task has ended.
        response.await.unwrap_or(Err((RefusalCause::NoUpstream, STOPPING_RETRY_AFTER_MS)))
    }

    /// Returns a handle that does not keep the task running.
    pub(super) fn downgrade(&self) -> WeakDispatcher {
        WeakDispatcher { messages: self.messages.downgrade() }
    }

    /// Reports the weights that an engine says it has.
    pub fn report_weights(&self, upstream: Arc<Upstream>, versions: Vec<(String, WeightsVersion)>) {
        self.send(Message::Weights { upstream, versions });
    }

    /// Charges the quota of an account, and waits for the owners of the quota if necessary.
    ///
    /// # Errors
    ///
    /// Why the quota does not allow the request.
    pub async fn charge(&self, account: AccountTag, tokens: u64) -> Result<Charge, QuotaRefusal> {
        let (sender, response) = oneshot::channel();
        let responder = ChargeResponder::new(sender);
        self.send(Message::Charge { account, tokens, responder });
        // A closed channel means that the task has ended.
        let retry_after_ms = STOPPING_RETRY_AFTER_MS;
        response.await.unwrap_or(Err(QuotaRefusal::Unreachable { retry_after_ms }))
    }

    /// Applies the load digest of another node.
    pub fn observe_peer(&self, from: SocketAddr, digest: LoadDigest) {
        self.send(Message::PeerDigest { from, digest: Box::new(digest) });
    }

    /// Takes a message of the quotas from another node.
    pub fn receive_quota(&self, from: SocketAddr, message: QuotaMessage) {
        self.send(Message::Quota { from, message });
    }

    /// Takes a message of the coordination from another node.
    pub fn receive_coordination(&self, from: SocketAddr, message: CoordinationMessage) {
        self.send(Message::Coordination { from, message: Box::new(message) });
    }

    /// Takes a message of the directory of stream origins from another node.
    pub fn receive_origin(&self, from: SocketAddr, message: OriginMessage) {
        self.send(Message::Origin { from, message });
    }

    /// Records the origin of a stream whose first events are about to be forwarded. `id` is that of the
    /// attempt that brought the stream's first event.
    pub fn record_stream(&self, id: &str, origin: StreamOrigin) {
        self.send(Message::StreamBegan { key: StreamKey::of(id), origin });
    }

    /// Looks up the origin of a stream by the identifier of the attempt that brought its first event:
    /// in this node's memory, else at the nodes that own it, which takes about 100 ms at most.
    pub async fn find_stream(&self, id: &str) -> OriginResolution {
        let (responder, response) = oneshot::channel();
        self.send(Message::FindStream { key: StreamKey::of(id), responder });
        response.await.unwrap_or(OriginResolution::Unknown { is_contradicted: false })
    }

    /// Returns the load digest of this node; `None` once the task has ended.
    pub async fn digest(&self) -> Option<LoadDigest> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Digest { responder });
        response.await.ok()
    }

    /// Reports changes in the cache store.
    pub fn apply_cache_store_changes(&self, changes: Vec<CacheChange>) {
        self.send(Message::CacheStoreChanged { changes });
    }

    /// Reports the epoch of the cache store once it is connected, or `None` when it is
    /// disconnected.
    pub fn set_cache_store_epoch(&self, epoch: Option<u64>) {
        self.send(Message::CacheStoreEpoch { epoch });
    }

    /// Refuses the queued requests: the node stops, and callers can retry at another node.
    pub fn refuse_queued(&self) {
        self.send(Message::RefuseQueued);
    }

    /// Returns a dump of the task's state; `None` once the task has ended.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Dump { responder });
        response.await.ok()
    }

    /// Explains the decision on a request that is not sent; `None` once the task has ended.
    pub async fn explain(&self, request: ScheduleRequest) -> Option<DecisionView> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Explain { request: Box::new(request), responder });
        response.await.ok()
    }

    /// Returns the load of each upstream by its identity.
    pub async fn loads(&self) -> HashMap<String, UpstreamLoad> {
        let (responder, response) = oneshot::channel();
        self.send(Message::Loads { responder });
        response.await.unwrap_or_default()
    }

    pub(super) fn send(&self, message: Message) {
        // The task outlives the requests, so a report sent after its end can be dropped.
        let _disconnected = self.messages.send(message).is_err();
    }
}

/// A handle of the dispatch task that does not keep it running.
#[derive(Clone, Debug)]
pub(super) struct WeakDispatcher {
    messages: mpsc::WeakUnboundedSender<Message>,
}

impl WeakDispatcher {
    /// Returns the handle; `None` once no other is left.
    pub fn upgrade(&self) -> Option<Dispatcher> {
        self.messages.upgrade().map(Dispatcher::new)
    }
}
