//! Telling the other nodes of this node's requests, in datagrams.
//!
//! A lost datagram is made good by the next; nothing waits for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::warn;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::cluster_view::ClusterView;
use crate::dispatch::Dispatcher;

/// The pause between datagrams to one node, among few nodes.
const PERIOD: Duration = Duration::from_millis(100);

/// The nodes that are told within one period; among more, each is told less often.
const NODES_PER_PERIOD: usize = 12;

/// The longest datagram.
const DATAGRAM_LIMIT_BYTES: usize = 8 << 10;

/// The task before it runs.
#[derive(Debug)]
pub struct Gossip {
    node: String,
    socket: UdpSocket,
    beliefs: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
    // Which nodes are told next, where they are many. It begins anywhere: if all nodes told the same
    // ones at the same time, these would see new room together and fill it together.
    turn: usize,
}

impl Gossip {
    /// Makes the task.
    pub fn new(
        node: String,
        socket: UdpSocket,
        beliefs: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
    ) -> Self {
        let turn = usize::from(rand::random::<u16>());
        Self { node, socket, beliefs, dispatcher, turn }
    }

    /// Runs until `stopping`.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut datagram = vec![0; DATAGRAM_LIMIT_BYTES];
        let mut next = Instant::now() + PERIOD;
        loop {
            tokio::select! {
                () = stopping.cancelled() => return,
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((len, from)) => self.hear(&datagram[..len], from),
                    Err(e) => debug!("event=gossip_unheard reason={:?}", e.to_string()),
                },
                () = tokio::time::sleep_until(next) => {
                    self.tell().await;
                    next = Instant::now() + PERIOD;
                }
            }
        }
    }

    fn hear(&self, datagram: &[u8], from: SocketAddr) {
        match postcard::from_bytes(datagram) {
            Ok(digest) => self.dispatcher.observe_peer(digest),
            Err(e) => warn!("event=gossip_unreadable from={from} reason={:?}", e.to_string()),
        }
    }

    async fn tell(&mut self) {
        let others: Vec<SocketAddr> = {
            let beliefs = self.beliefs.borrow();
            let others = beliefs.members.iter().filter(|member| member.name != self.node);
            others.map(|member| member.gossip).collect()
        };
        if others.is_empty() {
            return;
        }
        let Some(digest) = self.dispatcher.digest().await else { return };
        let datagram = match postcard::to_allocvec(&digest) {
            Ok(datagram) => datagram,
            Err(e) => {
                warn!("event=gossip_unwritable reason={:?}", e.to_string());
                return;
            }
        };
        let told = others.len().min(NODES_PER_PERIOD);
        for step in 0..told {
            let address = others[(self.turn + step) % others.len()];
            if let Err(e) = self.socket.send_to(&datagram, address).await {
                debug!("event=gossip_unsent to={address} reason={:?}", e.to_string());
            }
        }
        self.turn = (self.turn + told) % others.len();
    }
}
