//! The task that follows the store of cached prompt parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::cluster_view::ClusterView;
use crate::cluster_view::Member;
use crate::dispatch::Dispatcher;
use redwingrill_routing::UpstreamControl;

/// The pause after an answer with changes, so that a series of them costs few calls.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Listeners that are left free for nodes that do not know of each other yet.
const LISTENERS_SPARE: usize = 2;

/// The task before it runs.
pub struct CacheWatch<C> {
    node: String,
    control: C,
    beliefs: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
}

/// How far the task has followed one cache.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Position {
    address: SocketAddr,
    epoch: Option<u64>,
    next: u64,
}

impl<C: UpstreamControl> CacheWatch<C> {
    /// Makes the task.
    pub fn new(
        node: String,
        control: C,
        beliefs: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
    ) -> Self {
        Self { node, control, beliefs, dispatcher }
    }

    /// Runs until `stopping`.
    pub async fn run(mut self, stopping: CancellationToken) {
        tokio::select! {
            () = stopping.cancelled() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&mut self) {
        let mut position: Option<Position> = None;
        loop {
            let address = self.address();
            if position.map(|position| position.address) != address {
                if address.is_none() {
                    self.dispatcher.set_cache_store_epoch(None);
                }
                position = address.map(|address| Position { address, epoch: None, next: 0 });
            }
            let Some(current) = &mut position else {
                if self.beliefs.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let pause = self.ask(current).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns the address of the store, if this node is among those that may listen.
    fn address(&mut self) -> Option<SocketAddr> {
        let beliefs = self.beliefs.borrow_and_update();
        let store = beliefs.configuration.as_ref()?.cache_store()?;
        // Fast links first: those that listen tell all others.
        let own = beliefs.members.iter().find(|member| member.name == self.node)?;
        let is_before =
            |member: &&Member| (own.link_mbps, &member.name) < (member.link_mbps, &own.name);
        let rank = beliefs.members.iter().filter(is_before).count();
        let listeners = store.event_listeners as usize;
        (rank < listeners.saturating_sub(LISTENERS_SPARE)).then_some(store.address)
    }

    async fn ask(&self, position: &mut Position) -> Duration {
        let answer = self.control.cache_changes(position.address, position.next).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => {
                if position.epoch.take().is_some() {
                    warn!("event=cache_store_lost reason={:?}", e.to_string());
                    self.dispatcher.set_cache_store_epoch(None);
                }
                return RETRY_PAUSE;
            }
        };
        if position.epoch != Some(answer.epoch) {
            info!("event=cache_store_followed epoch={} next={}", answer.epoch, answer.next);
            self.dispatcher.set_cache_store_epoch(Some(answer.epoch));
            let was_known = position.epoch.replace(answer.epoch).is_some();
            // The numbers of another start say nothing; what it holds is asked from the beginning.
            if was_known || position.next > answer.next {
                position.next = 0;
                return Duration::ZERO;
            }
        }
        if answer.has_gap {
            info!("event=cache_events_lost since={} next={}", position.next, answer.next);
        }
        position.next = answer.next;
        if answer.changes.is_empty() {
            return Duration::ZERO;
        }
        self.dispatcher.cache_store_changed(answer.changes);
        BATCH_PAUSE
    }
}
