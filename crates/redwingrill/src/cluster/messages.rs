//! Messages to the task, and the way to it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use redwingrill_admission::limits::AccountDemand;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;
use redwingrill_membership::UpstreamKey;
use redwingrill_peer::PeerConnection;
use redwingrill_peer::PeerError;
use redwingrill_placement::fleet::LoadReport;
use redwingrill_ports::Instance;

/// Messages that may wait. A peer whose call finds no room is told to begin a new link.
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;

/// The answer of an engine about its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineResponse {
    pub load: LoadReport,
    pub leaving: bool,
}

/// A message to the task.
#[derive(Debug)]
pub(super) enum Message {
    /// A peer exchanges.
    Exchange {
        caller: PeerConnection,
        link: LinkId,
        frame: Frame,
        reply: oneshot::Sender<ExchangeResponse>,
    },
    /// A peer asks for the next exchange.
    Nudge { link: LinkId },
    /// An exchange of this node ended.
    ExchangeEnded { link: LinkId, result: Result<ExchangeResponse, PeerError> },
    /// A peer could not be asked to exchange.
    NudgeFailed { link: LinkId },
    /// An engine was asked for its load.
    EnginePolled { engine: UpstreamKey, response: Option<EngineResponse> },
    /// The list of instances was read.
    InstancesListed { instances: Option<Vec<Instance>> },
    /// The accounts with the most demand here.
    TopAccounts { demands: Vec<AccountDemand> },
    /// This node is about to stop.
    Leave,
    /// Describe the state.
    Dump { reply: oneshot::Sender<Value> },
}

/// The way to the task. Clones lead to the same task.
#[derive(Clone, Debug)]
pub struct ClusterHandle {
    messages: mpsc::Sender<Message>,
}

pub(super) type Inbox = mpsc::Receiver<Message>;

impl ClusterHandle {
    pub(super) fn new() -> (Self, Inbox) {
        let (messages, inbox) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        (Self { messages }, inbox)
    }

    pub(super) async fn send(&self, message: Message) {
        // The task ends only when the node stops; what comes later has no reader and no use.
        let _ended = self.messages.send(message).await.is_err();
    }

    pub(super) fn try_send(&self, message: Message) -> bool {
        self.messages.try_send(message).is_ok()
    }

    /// Announces that this node is about to stop.
    pub async fn leave(&self) {
        self.send(Message::Leave).await;
    }

    /// Describes the state; none once the task has ended.
    pub async fn dump(&self) -> Option<Value> {
        let (reply, response) = oneshot::channel();
        self.send(Message::Dump { reply }).await;
        response.await.ok()
    }
}

/// What other tasks read without asking. Written by the task only.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerView {
    /// The highest generation that a live peer is known to have in force.
    pub newest_generation: u64,
    /// The addresses of usable peers with that generation.
    pub holders: Arc<[SocketAddr]>,
    /// The addresses of peers that this node has connections to.
    pub outbound: Arc<[SocketAddr]>,
    /// Usable nodes, this one included.
    pub live_nodes: usize,
}
