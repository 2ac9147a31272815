//! What requests and other parts say to the dispatch task.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::DispatchState;
use super::observations::EngineLoadReport;
use super::schedule_request::OwnedScheduleRequest;
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

/// Contexts for hashing prompts that are kept for later requests.
const SCRATCH_POOL_SIZE: usize = 16;

/// The answer to a request that asks for an engine.
pub(super) type TargetSender = oneshot::Sender<Result<EngineTarget, Refusal>>;

/// A message to the dispatch task.
#[derive(Debug)]
pub(super) enum Message {
    /// A request asks to be admitted.
    Admit { ticket: TicketId, request: Box<OwnedScheduleRequest>, response: TargetSender },
    /// A leg failed and the request asks for another engine.
    Replace { ticket: TicketId, fault: Fault, response: TargetSender },
    /// The first token of a leg arrived.
    FirstToken { ticket: TicketId, start: Option<EngineStart> },
    /// The request ended or its caller is gone; `usage` is absent if it did not end well.
    Ended { ticket: TicketId, usage: Option<Usage> },
    /// An engine's load was observed.
    EngineLoad(EngineLoadReport),
    /// The upstreams that are leaving, by the platform's instance list.
    Leaving { upstreams: Vec<UpstreamId> },
    /// What other nodes told of their top accounts.
    RemoteDemand { demands: Vec<AccountDemand> },
    /// Name the accounts with the most demand here.
    TopAccounts { limit: usize, response: oneshot::Sender<Vec<AccountDemand>> },
    /// Describe the state.
    Dump { response: oneshot::Sender<DispatchState> },
}

/// The way of requests to the dispatch task.
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

    /// Waits until the request is admitted and an engine is chosen. Dropping the wait withdraws the
    /// request.
    ///
    /// # Errors
    ///
    /// The refusal, which always says "not run".
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

    /// Tells of an engine's load.
    pub fn observe_load(&self, report: EngineLoadReport) {
        self.send(Message::EngineLoad(report));
    }

    /// Replaces the upstreams that are leaving, by the platform's instance list. They get no new
    /// requests.
    pub fn set_leaving(&self, upstreams: Vec<UpstreamId>) {
        self.shared.leaving.set(upstreams.iter().copied());
        self.send(Message::Leaving { upstreams });
    }

    /// Returns the upstreams that are leaving, by the platform's instance list.
    pub fn leaving(&self) -> LeavingUpstreams {
        self.shared.leaving.clone()
    }

    /// Replaces what other nodes told of their top accounts.
    pub fn set_remote_demand(&self, demands: Vec<AccountDemand>) {
        self.send(Message::RemoteDemand { demands });
    }

    /// Returns the accounts with the most demand at this node, at most `limit`.
    pub async fn top_accounts(&self, limit: usize) -> Vec<AccountDemand> {
        let (response, receiver) = oneshot::channel();
        self.send(Message::TopAccounts { limit, response });
        receiver.await.unwrap_or_default()
    }

    /// Describes the state of the task; `None` once it has ended.
    pub async fn dump(&self) -> Option<DispatchState> {
        let (response, receiver) = oneshot::channel();
        self.send(Message::Dump { response });
        receiver.await.ok()
    }

    pub(super) fn send(&self, message: Message) {
        // The task ends only after every request has; a late report has no reader and no use.
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

/// A way to the dispatch task that does not keep it running.
#[derive(Clone, Debug)]
pub(super) struct WeakDispatcher(mpsc::WeakUnboundedSender<Message>);

impl WeakDispatcher {
    pub(super) fn new(messages: &mpsc::UnboundedSender<Message>) -> Self {
        Self(messages.downgrade())
    }

    /// Tells of an engine's load. Returns false once nobody else can reach the task.
    pub(super) fn observe_load(&self, report: EngineLoadReport) -> bool {
        self.0.upgrade().is_some_and(|messages| messages.send(Message::EngineLoad(report)).is_ok())
    }

    /// Returns whether anybody else can reach the task.
    pub(super) fn is_open(&self) -> bool {
        self.0.upgrade().is_some()
    }
}
