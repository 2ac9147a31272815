//! The messages to the dispatch task and their sender.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::DispatchState;
use super::explain::DispatchExplanation;
use super::observations::EngineLoadReport;
use super::schedule_request::OwnedScheduleRequest;
use super::schedule_request::PlannedRequest;
use super::schedule_request::ScheduleRequest;
use super::ticket::EngineTarget;
use super::ticket::Ticket;
use super::ticket::TicketId;
use crate::Refusal;
use crate::upstream::LeavingUpstreams;
use redwingrill_admission::limits::AccountDemand;
use redwingrill_codes::ResultCode;
use redwingrill_entity::UpstreamId;
use redwingrill_placement::blocks::PromptBlocks;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_stream::Fault;
use redwingrill_stream::Usage;

/// The number of prompt hashing buffers that are kept for later requests.
const SCRATCH_POOL_SIZE: usize = 16;

/// The channel for the engine chosen for a request, or its refusal.
pub(super) type TargetSender = oneshot::Sender<Result<EngineTarget, Refusal>>;

/// A message to the dispatch task.
#[derive(Debug)]
pub(super) enum Message {
    /// Admit a request.
    Admit { ticket: TicketId, request: Box<OwnedScheduleRequest>, response: TargetSender },
    /// An attempt failed and the request needs another engine.
    Replace { ticket: TicketId, fault: Fault, response: TargetSender },
    /// The first token of an attempt arrived.
    FirstToken { ticket: TicketId, start: Option<EngineStart> },
    /// The request ended or its caller disconnected; `usage` is present if it succeeded.
    Ended { ticket: TicketId, usage: Option<Usage> },
    /// The load of an engine was observed.
    EngineLoad(EngineLoadReport),
    /// The upstreams that the platform's instance list marks as leaving.
    Leaving { upstreams: Vec<UpstreamId> },
    /// The demand of the top accounts at other nodes.
    RemoteDemand { demands: Vec<AccountDemand> },
    /// Return the accounts with the most demand at this node.
    TopAccounts { limit: usize, response: oneshot::Sender<Vec<AccountDemand>> },
    /// Explain what would be done with a request.
    Explain { request: Box<OwnedScheduleRequest>, response: oneshot::Sender<DispatchExplanation> },
    /// Return the state of the task.
    Dump { response: oneshot::Sender<DispatchState> },
}

/// A handle of the dispatch task. Clones share the task.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    messages: mpsc::UnboundedSender<Message>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    next_ticket: AtomicU64,
    leaving: LeavingUpstreams,
    scratch: Mutex<Vec<PromptBlocks>>,
}

impl Dispatcher {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { messages, shared: Arc::default() }
    }

    /// Waits until the request is admitted and an engine is chosen. Dropping the future withdraws
    /// the request.
    ///
    /// # Errors
    ///
    /// The refusal, whose code always states that the request was not run.
    pub async fn admit(&self, request: &ScheduleRequest<'_>) -> Result<Ticket, Refusal> {
        let id = TicketId(self.shared.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (response, receiver) = oneshot::channel();
        let request = Box::new(self.hash(request));
        // From here on, dropping the ticket withdraws the request.
        let mut ticket = Ticket::waiting(id, self.clone());
        self.send(Message::Admit { ticket: id, request, response });
        ticket.started(receiver.await.map_err(|_| Refusal::new(ResultCode::Draining))??);
        Ok(ticket)
    }

    /// Reports the load of an engine.
    pub fn observe_load(&self, report: EngineLoadReport) {
        self.send(Message::EngineLoad(report));
    }

    /// Replaces the upstreams that the platform's instance list marks as leaving. They get no new
    /// requests.
    pub fn set_leaving(&self, upstreams: Vec<UpstreamId>) {
        self.shared.leaving.set(upstreams.iter().copied());
        self.send(Message::Leaving { upstreams });
    }

    /// Returns the upstreams that the platform's instance list marks as leaving.
    pub fn leaving(&self) -> LeavingUpstreams {
        self.shared.leaving.clone()
    }

    /// Replaces the demand of the top accounts at other nodes.
    pub fn set_remote_demand(&self, demands: Vec<AccountDemand>) {
        self.send(Message::RemoteDemand { demands });
    }

    /// Returns the accounts with the most demand at this node, at most `limit`.
    pub async fn top_accounts(&self, limit: usize) -> Vec<AccountDemand> {
        let (response, receiver) = oneshot::channel();
        self.send(Message::TopAccounts { limit, response });
        receiver.await.unwrap_or_default()
    }

    /// Explains what would be done with a request that is not sent; `None` once the task has ended.
    pub async fn explain(&self, request: &PlannedRequest<'_>) -> Option<DispatchExplanation> {
        let (response, receiver) = oneshot::channel();
        let request = Box::new(OwnedScheduleRequest::planned(request));
        self.send(Message::Explain { request, response });
        receiver.await.ok()
    }

    /// Returns the state of the task; `None` once it has ended.
    pub async fn dump(&self) -> Option<DispatchState> {
        let (response, receiver) = oneshot::channel();
        self.send(Message::Dump { response });
        receiver.await.ok()
    }

    pub(super) fn send(&self, message: Message) {
        // The task outlives every request, so only late load reports can fail to be sent.
        let _ended = self.messages.send(message).is_err();
    }

    fn hash(&self, request: &ScheduleRequest<'_>) -> OwnedScheduleRequest {
        let mut blocks = self.scratch().pop().unwrap_or_default();
        let owned = OwnedScheduleRequest::new(request, &mut blocks);
        let mut scratch = self.scratch();
        if scratch.len() < SCRATCH_POOL_SIZE {
            scratch.push(blocks);
        }
        owned
    }

    fn scratch(&self) -> std::sync::MutexGuard<'_, Vec<PromptBlocks>> {
        self.shared.scratch.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A handle of the dispatch task that does not keep it running.
#[derive(Clone, Debug)]
pub(super) struct WeakDispatcher(mpsc::WeakUnboundedSender<Message>);

impl WeakDispatcher {
    pub(super) fn new(messages: &mpsc::UnboundedSender<Message>) -> Self {
        Self(messages.downgrade())
    }

    /// Reports the load of an engine. Returns false once the last [`Dispatcher`] is dropped.
    pub(super) fn observe_load(&self, report: EngineLoadReport) -> bool {
        self.0.upgrade().is_some_and(|messages| messages.send(Message::EngineLoad(report)).is_ok())
    }

    /// Returns whether a [`Dispatcher`] still exists.
    pub(super) fn is_open(&self) -> bool {
        self.0.upgrade().is_some()
    }
}
