//! The task that follows the events of the KV cache store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::cluster_view::ClusterView;
use crate::dispatch::Dispatcher;
use redwingrill_routing::UpstreamControl;

/// The delay after a response with changes, so that a series of changes costs few calls.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Listener slots that are kept free, because nodes that do not know each other yet may exceed the
/// limit together.
const RESERVED_LISTENERS: usize = 2;

/// The task that follows the cache store.
pub struct CacheWatch<C> {
    node: String,
    control: C,
    view: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
}

/// The position in the event log of one cache store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Position {
    address: SocketAddr,
    epoch: Option<u64>,
    next: u64,
}

impl<C: UpstreamControl> CacheWatch<C> {
    /// Creates the task.
    pub fn new(
        node: String,
        control: C,
        view: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
    ) -> Self {
        Self { node, control, view, dispatcher }
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        tokio::select! {
            () = stopping.cancelled() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&mut self) {
        let mut position: Option<Position> = None;
        loop {
            let address = self.watched_address();
            if position.map(|position| position.address) != address {
                if address.is_none() {
                    self.dispatcher.set_cache_store_epoch(None);
                }
                position = address.map(|address| Position { address, epoch: None, next: 0 });
            }
            let Some(current) = &mut position else {
                if self.view.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let delay = self.poll(current).await;
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns the address of the cache store, if this node is one of its listeners.
    fn watched_address(&mut self) -> Option<SocketAddr> {
        let view = self.view.borrow_and_update();
        let store = view.configuration.as_ref()?.cache_store()?;
        // Listeners pass the events on to all other nodes.
        let rank = view.rank_of(&self.node);
        let is_member = rank < view.members.len();
        let listeners = store.event_listeners as usize;
        let is_listener = rank < listeners.saturating_sub(RESERVED_LISTENERS);
        (is_member && is_listener).then_some(store.address)
    }

    async fn poll(&self, position: &mut Position) -> Duration {
        let response = self.control.cache_changes(position.address, position.next).await;
        let response = match response {
            Ok(response) => response,
            Err(e) => {
                if position.epoch.take().is_some() {
                    warn!("event=cache_store_lost reason={:?}", e.to_string());
                    self.dispatcher.set_cache_store_epoch(None);
                }
                return RETRY_DELAY;
            }
        };
        if position.epoch != Some(response.epoch) {
            info!("event=cache_store_followed epoch={} next={}", response.epoch, response.next);
            self.dispatcher.set_cache_store_epoch(Some(response.epoch));
            let was_known = position.epoch.replace(response.epoch).is_some();
            // Event numbers of another epoch are not comparable, so the log is read from the start.
            if was_known || position.next > response.next {
                position.next = 0;
                return Duration::ZERO;
            }
        }
        if response.has_gap {
            info!("event=cache_events_lost since={} next={}", position.next, response.next);
        }
        position.next = response.next;
        if response.changes.is_empty() {
            return Duration::ZERO;
        }
        self.dispatcher.apply_cache_store_changes(response.changes);
        BATCH_DELAY
    }
}
