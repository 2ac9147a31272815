//! Exchanges datagrams with the other nodes: load digests with the revision of the store that the
//! sender has applied, and the messages of the coordination, of the quotas of accounts and of the
//! directory of stream origins.
//!
//! The next datagram makes up for a lost one; nothing waits for a datagram.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::decode_failures::DecodeFailures;
use crate::cluster_view::ClusterView;
use crate::dispatch::Dispatcher;
use crate::dispatch::PeerMessage;
use crate::store_sync::StoreReader;
use redwingrill_admission::limits::fleet::QuotaMessage;
use redwingrill_routing::Revision;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::fleet::DIGEST_PERIOD_MS;
use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::NODES_PER_DIGEST_PERIOD;
use redwingrill_scheduling::stream_origins::OriginMessage;

/// The period between datagrams to one node in a small fleet.
const SEND_PERIOD: Duration = Duration::from_millis(DIGEST_PERIOD_MS);

/// The size limit of a received datagram.
const DATAGRAM_LIMIT_BYTES: usize = 8 << 10;

/// A datagram. Nodes of earlier builds drop the kinds that they do not know, so new ones come last.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    Digest {
        /// The revision of the store that the sender has applied.
        revision: u64,
        digest: Box<LoadDigest>,
    },
    Coordination(CoordinationMessage),
    Quota(QuotaMessage),
    Origin(OriginMessage),
}

impl From<PeerMessage> for Datagram {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Coordination(message) => Self::Coordination(message),
            PeerMessage::Quota(message) => Self::Quota(message),
            PeerMessage::Origin(message) => Self::Origin(message),
        }
    }
}

/// The gossip task.
#[derive(Debug)]
pub struct Gossip {
    node: String,
    socket: UdpSocket,
    view: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
    reader: StoreReader,
    // Messages of the dispatch task for other nodes.
    outgoing: mpsc::Receiver<(SocketAddr, PeerMessage)>,
    // The first recipient of the next period. It starts at random: if all nodes sent to the same
    // recipients at the same time, these would see free capacity together and fill it together.
    next_index: usize,
    decode_failures: DecodeFailures,
}

impl Gossip {
    /// Creates the task.
    pub fn new(
        node: String,
        socket: UdpSocket,
        view: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
        reader: StoreReader,
        outgoing: mpsc::Receiver<(SocketAddr, PeerMessage)>,
    ) -> Self {
        let next_index = usize::from(rand::random::<u16>());
        let decode_failures = DecodeFailures::default();
        Self { node, socket, view, dispatcher, reader, outgoing, next_index, decode_failures }
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut datagram = vec![0; DATAGRAM_LIMIT_BYTES];
        let mut next_send = Instant::now() + SEND_PERIOD;
        loop {
            tokio::select! {
                () = stopping.cancelled() => return,
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((len, from)) => self.receive(&datagram[..len], from),
                    Err(e) => debug!("event=gossip_receive_failed reason={:?}", e.to_string()),
                },
                Some((to, message)) = self.outgoing.recv() => {
                    self.send(&Datagram::from(message), &[to]).await;
                }
                () = tokio::time::sleep_until(next_send) => {
                    self.send_digest().await;
                    next_send = Instant::now() + SEND_PERIOD;
                }
            }
        }
    }

    fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        match postcard::from_bytes(datagram) {
            Ok(Datagram::Coordination(message)) => {
                self.dispatcher.receive_coordination(from, message);
            }
            Ok(Datagram::Quota(message)) => self.dispatcher.receive_quota(from, message),
            Ok(Datagram::Origin(message)) => self.dispatcher.receive_origin(from, message),
            Ok(Datagram::Digest { revision, digest }) => {
                self.dispatcher.observe_peer(from, *digest);
                let sender = {
                    let view = self.view.borrow();
                    view.members.iter().find(|m| m.gossip == from).map(|m| m.address)
                };
                if let Some(peer) = sender {
                    self.reader.observe_peer_revision(peer, Revision::from_u64(revision));
                }
            }
            Err(e) => self.decode_failures.log(from.ip(), &e),
        }
    }

    async fn send_digest(&mut self) {
        let others: Vec<SocketAddr> = {
            let view = self.view.borrow();
            let others = view.members.iter().filter(|member| member.name != self.node);
            others.map(|member| member.gossip).collect()
        };
        if others.is_empty() {
            return;
        }
        let Some(digest) = self.dispatcher.digest().await else { return };
        let revision = self.view.borrow().complete_to.as_u64();
        let count = others.len().min(NODES_PER_DIGEST_PERIOD);
        let recipients = (0..count).map(|offset| others[(self.next_index + offset) % others.len()]);
        let recipients: Vec<SocketAddr> = recipients.collect();
        self.next_index = (self.next_index + count) % others.len();
        let digest = Box::new(digest);
        self.send(&Datagram::Digest { revision, digest }, &recipients).await;
    }

    async fn send(&self, datagram: &Datagram, recipients: &[SocketAddr]) {
        let datagram = match postcard::to_allocvec(datagram) {
            Ok(datagram) => datagram,
            Err(e) => {
                warn!("event=gossip_encode_failed reason={:?}", e.to_string());
                return;
            }
        };
        for address in recipients {
            if let Err(e) = self.socket.send_to(&datagram, address).await {
                debug!("event=gossip_send_failed to={address} reason={:?}", e.to_string());
            }
        }
    }
}
