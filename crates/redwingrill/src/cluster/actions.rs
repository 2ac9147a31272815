//! Executes the actions of the state machine, each in a short-lived task.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use log::debug;
use tokio_util::task::TaskTracker;

use super::handler::PeerHandler;
use super::messages::ClusterHandle;
use super::messages::EngineResponse;
use super::messages::Message;
use crate::dispatch::Dispatcher;
use crate::dispatch::fetch_load;
use redwingrill_membership::Action;
use redwingrill_membership::LinkId;
use redwingrill_membership::UpstreamKey;
use redwingrill_peer::PeerConnection;
use redwingrill_peer::PeerEndpoint;
use redwingrill_ports::InstanceList;
use redwingrill_transport::Pool;

/// Timeout of one exchange with a peer. Connection setup has a separate limit of one second.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of reading the instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The outbound side of the cluster task.
#[derive(Debug)]
pub(super) struct Actions<I> {
    pub peers: PeerEndpoint<PeerHandler>,
    pub instances: I,
    pub pool: Pool,
    pub task: ClusterHandle,
    pub spawned: TaskTracker,
    /// Peer addresses of outbound links.
    pub addresses: HashMap<LinkId, SocketAddr>,
    /// Connections of inbound links.
    pub inbound: HashMap<LinkId, PeerConnection>,
}

impl<I: InstanceList> Actions<I> {
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Exchange { link, address, frame } => {
                self.addresses.insert(link, address);
                let (peers, task) = (self.peers.clone(), self.task.clone());
                self.spawned.spawn(async move {
                    let exchange = async |peer: &PeerConnection| {
                        peer.exchange(link, frame, EXCHANGE_TIMEOUT).await
                    };
                    let result = peers.call(address, exchange).await;
                    task.send(Message::ExchangeEnded { link, result }).await;
                });
            }
            Action::Nudge { link } => self.nudge(link),
            Action::Close { link } => {
                if let Some(address) = self.addresses.remove(&link) {
                    self.peers.disconnect(address);
                }
            }
        }
    }

    fn nudge(&self, link: LinkId) {
        let Some(caller) = self.inbound.get(&link).cloned() else { return };
        let task = self.task.clone();
        self.spawned.spawn(async move {
            if caller.nudge(link, EXCHANGE_TIMEOUT).await.is_err() {
                task.send(Message::NudgeFailed { link }).await;
            }
        });
    }

    pub fn poll_engine(&self, engine: UpstreamKey, address: SocketAddr) {
        let (pool, task) = (self.pool.clone(), self.task.clone());
        self.spawned.spawn(async move {
            let report = fetch_load(&pool, address).await;
            let response = report
                .map(|report| EngineResponse { leaving: report.leaving, load: report.into() });
            task.send(Message::EnginePolled { engine, response }).await;
        });
    }

    pub fn read_instance_list(&self) {
        let (instances, task) = (self.instances.clone(), self.task.clone());
        self.spawned.spawn(async move {
            let read = tokio::time::timeout(LIST_TIMEOUT, instances.list()).await;
            let instances = match read {
                Ok(Ok(instances)) => Some(instances),
                Ok(Err(error)) => {
                    debug!("event=list_unread error=\"{error}\"");
                    None
                }
                Err(_) => None,
            };
            task.send(Message::InstancesListed { instances }).await;
        });
    }

    pub fn query_top_accounts(&self, dispatcher: &Dispatcher, limit: usize) {
        let (dispatcher, task) = (dispatcher.clone(), self.task.clone());
        self.spawned.spawn(async move {
            let demands = dispatcher.top_accounts(limit).await;
            task.send(Message::TopAccounts { demands }).await;
        });
    }

    /// Removes closed connections.
    pub fn remove_closed(&mut self) {
        self.inbound.retain(|_, caller| !caller.is_closed());
    }
}
