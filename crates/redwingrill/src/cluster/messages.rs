//! Messages to the cluster task, and its handle.

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

/// Capacity of the message queue. While it is full, exchanges of peers are answered with a reset,
/// and the peer opens a new link.
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;

/// The response of an engine to a load poll.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineResponse {
    pub load: LoadReport,
    pub leaving: bool,
}

/// A message to the cluster task.
#[derive(Debug)]
pub(super) enum Message {
    /// A peer sent an exchange.
    Exchange {
        caller: PeerConnection,
        link: LinkId,
        frame: Frame,
        reply: oneshot::Sender<ExchangeResponse>,
    },
    /// A peer requested the next exchange.
    Nudge { link: LinkId },
    /// An exchange that this node started ended.
    ExchangeEnded { link: LinkId, result: Result<ExchangeResponse, PeerError> },
    /// A nudge to a peer failed.
    NudgeFailed { link: LinkId },
    /// A load poll of an engine ended; `response` is none if it failed.
    EnginePolled { engine: UpstreamKey, response: Option<EngineResponse> },
    /// A read of the instance list ended; `instances` is none if it failed.
    InstancesListed { instances: Option<Vec<Instance>> },
    /// The client accounts with the highest demand at this node.
    TopAccounts { demands: Vec<AccountDemand> },
    /// This node is about to stop.
    Leave,
    /// Requests the state for the state dump.
    Dump { reply: oneshot::Sender<Value> },
}

/// A handle to the cluster task. Clones refer to the same task.
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
        // The task ends only when the node stops; later messages are dropped.
        let _ended = self.messages.send(message).await.is_err();
    }

    pub(super) fn try_send(&self, message: Message) -> bool {
        self.messages.try_send(message).is_ok()
    }

    /// Announces that this node is about to stop.
    pub async fn leave(&self) {
        self.send(Message::Leave).await;
    }

    /// Returns the state for the state dump; none if the task has ended.
    pub async fn dump(&self) -> Option<Value> {
        let (reply, response) = oneshot::channel();
        self.send(Message::Dump { reply }).await;
        response.await.ok()
    }
}

/// A view of the peers that other tasks read without a message. Only the cluster task writes it.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerView {
    /// The highest generation that a live peer is known to have in force.
    pub newest_generation: u64,
    /// The addresses of usable peers with that generation.
    pub holders: Arc<[SocketAddr]>,
    /// The addresses of peers with an outbound link from this node.
    pub outbound: Arc<[SocketAddr]>,
    /// The number of usable nodes, including this one.
    pub live_nodes: usize,
}
