//! The task that follows the store, and peers while the store is unavailable.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::Continuity;
use super::MirrorUpdate;
use super::Source;
use super::SourceSelector;
use super::StoreMirror;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::cluster_view::ClusterViewBuilder;
use crate::peers::PeerClient;
use crate::peers::StoreStatus;
use crate::peers::StoreUpdateResponse;
use crate::peers::fetch_peer_update;
use crate::telemetry::Metrics;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::Listing;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;

/// The long-poll timeout of a call without changes; bounds how late a silent store is noticed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The delay after a batch of changes, so that a series of changes costs few calls.
const BATCH_DELAY: Duration = Duration::from_millis(120);

/// The mean delay after a failed call; the actual delay is randomized by 40 percent either way.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The delay before each request to a peer while the store is unavailable.
const PEER_POLL_DELAY: Duration = Duration::from_millis(300);

/// How long a peer's revision may be ahead before its changes are fetched from that peer: longer
/// than a change takes through the watchers.
const PEER_LEAD_DELAY: Duration = Duration::from_millis(250);

/// How often the task runs at least, so that a suspension shows.
const RUN_PERIOD: Duration = Duration::from_millis(250);

/// The number of revisions of peers that wait to be compared.
const PEER_REVISIONS_QUEUE_LEN: usize = 64;

/// How long upstreams that the store no longer lists are retained after it is available again: live
/// ones register again within about two seconds.
const UNLISTED_RETENTION_MS: u64 = 2_100;

/// The options of [`StoreSync`].
#[derive(Clone, Debug)]
pub struct StoreSyncOptions {
    /// The name of the node.
    pub node: String,
    /// The failure domain of the node.
    pub failure_domain: String,
    /// Addresses of peers to poll before any member is known.
    pub seeds: Vec<SocketAddr>,
    /// How long the store keeps the entry of an upstream that is gone.
    pub upstream_lapse: Duration,
    /// The address of this node for peers, which is skipped when a peer is chosen.
    pub own_address: Option<SocketAddr>,
}

/// A handle to the mirror of [`StoreSync`].
#[derive(Clone, Debug)]
pub struct StoreReader {
    requests: mpsc::Sender<UpdateRequest>,
    peer_revisions: mpsc::Sender<PeerRevision>,
    last_contact_ms: Arc<AtomicU64>,
}

/// The revision that a peer has applied.
#[derive(Clone, Copy, Debug)]
struct PeerRevision {
    peer: SocketAddr,
    revision: Revision,
}

#[derive(Debug)]
struct UpdateRequest {
    after: Revision,
    // When to respond even if there is no update.
    deadline: Instant,
    responder: oneshot::Sender<StoreUpdateResponse>,
}

impl StoreReader {
    /// Returns when the node last had contact with the store, directly or through a watcher.
    pub fn last_contact_ms(&self) -> Option<u64> {
        let at_ms = self.last_contact_ms.load(Ordering::Relaxed);
        (at_ms > 0).then_some(at_ms)
    }

    /// Reports the revision that a peer has applied. If it stays ahead of this node's, the source of
    /// this node's updates is silent, and the changes are fetched from the peer.
    pub fn observe_peer_revision(&self, peer: SocketAddr, revision: Revision) {
        // The next datagram makes up for a report that finds the queue full.
        let _dropped = self.peer_revisions.try_send(PeerRevision { peer, revision }).is_err();
    }

    /// Returns the changes after a revision, and waits up to `wait` for one; `None` once the task
    /// has ended.
    pub async fn update_after(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Option<StoreUpdateResponse> {
        let (responder, response) = oneshot::channel();
        let deadline = Instant::now() + wait;
        self.requests.send(UpdateRequest { after, deadline, responder }).await.ok()?;
        response.await.ok()
    }
}

/// Mirrors the store and publishes the cluster view.
pub struct StoreSync<S, D> {
    store: S,
    options: StoreSyncOptions,
    mirror: StoreMirror,
    builder: ClusterViewBuilder<D>,
    view: watch::Sender<Arc<ClusterView>>,
    requests: mpsc::Receiver<UpdateRequest>,
    // Requests from peers that wait for an update.
    waiting_requests: Vec<UpdateRequest>,
    source_selector: SourceSelector,
    // The connection to the watcher that was polled last.
    watcher_client: Option<PeerClient>,
    // The request to a peer in flight. It is kept across calls to the store, which may fail faster
    // than the peer responds.
    peer_request: Option<PeerRequest>,
    peer_revisions: mpsc::Receiver<PeerRevision>,
    // The last peer that was ahead of this node.
    peer_ahead: Option<PeerRevision>,
    returning_until_ms: u64,
    continuity: Continuity,
    metrics: Metrics,
    contact: StoreContact,
    // Zero before the first contact.
    last_contact_ms: Arc<AtomicU64>,
}

type PeerRequest = Pin<Box<dyn Future<Output = Option<StoreUpdateResponse>> + Send>>;

/// Whether this node reaches the store, directly or through a watcher.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum StoreContact {
    Never,
    Connected,
    Lost { since_ms: u64 },
}

impl<S: SharedStore, D: ItemCodec> StoreSync<S, D> {
    /// Creates the task, a handle to its mirror, and a receiver of the cluster view.
    pub fn new(
        store: S,
        codec: Arc<D>,
        options: StoreSyncOptions,
        metrics: Metrics,
    ) -> (Self, StoreReader, watch::Receiver<Arc<ClusterView>>) {
        let (sender, requests) = mpsc::channel(64);
        let (revisions_sender, peer_revisions) = mpsc::channel(PEER_REVISIONS_QUEUE_LEN);
        let last_contact_ms: Arc<AtomicU64> = Arc::default();
        let (view, view_receiver) = watch::channel(Arc::default());
        let task = Self {
            store,
            mirror: StoreMirror::new(codec.clone(), options.upstream_lapse),
            builder: ClusterViewBuilder::new(codec, options.upstream_lapse.as_millis() as u64),
            view,
            requests,
            waiting_requests: Vec::new(),
            source_selector: SourceSelector::new(
                options.node.clone(),
                options.failure_domain.clone(),
            ),
            options,
            watcher_client: None,
            peer_request: None,
            peer_revisions,
            peer_ahead: None,
            returning_until_ms: 0,
            continuity: Continuity::default(),
            metrics,
            contact: StoreContact::Never,
            last_contact_ms: last_contact_ms.clone(),
        };
        let reader =
            StoreReader { requests: sender, peer_revisions: revisions_sender, last_contact_ms };
        (task, reader, view_receiver)
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut must_list = true;
        // Whether nothing but a listing has succeeded since the last gap.
        let mut was_listed = false;
        while !stopping.is_cancelled() {
            let source = match must_list {
                true => Source::Store,
                false => self.source_selector.choose(&self.view.borrow().members, now_ms()),
            };
            if let Source::Watcher(watcher) = source {
                self.poll_watcher(watcher, &stopping).await;
                continue;
            }
            self.watcher_client = None;
            let store = self.store.clone();
            let after = self.mirror.complete_to();
            let call = async {
                match must_list {
                    true => store.list("").await.map(Fetched::Listing),
                    false => store.changes("", after, WATCH_TIMEOUT).await.map(Fetched::Batch),
                }
            };
            let Some(result) = self.serve_while(call, &stopping).await else { return };
            self.metrics.store_call(result.is_ok());
            match result {
                Ok(Fetched::Listing(listing)) => {
                    must_list = false;
                    was_listed = true;
                    self.contact_restored();
                    let is_recent = self.record_contact();
                    self.apply_listing(listing);
                    self.publish(is_recent);
                }
                Ok(Fetched::Batch(batch)) => {
                    was_listed = false;
                    self.contact_restored();
                    let is_recent = self.record_contact();
                    let changed = self.mirror.apply_batch(batch.changes, batch.complete_to);
                    if changed {
                        self.publish(is_recent);
                        self.serve_while(sleep(BATCH_DELAY), &stopping).await;
                    }
                }
                Err(SharedStoreError::HistoryDropped) => {
                    info!("event=store_history_dropped complete_to={after}");
                    must_list = true;
                    // A store that drops its history at once is not listed in a loop.
                    if std::mem::replace(&mut was_listed, false) {
                        self.serve_while(sleep(retry_delay()), &stopping).await;
                    }
                }
                Err(error) => {
                    self.contact_lost(&error);
                    self.serve_while(sleep(retry_delay()), &stopping).await;
                }
            }
        }
    }

    /// Polls a node that watches the store. A watcher that fails, or has lost the store itself, is
    /// skipped for a while.
    async fn poll_watcher(&mut self, watcher: SocketAddr, stopping: &CancellationToken) {
        let after = self.mirror.complete_to();
        let watcher_client =
            self.watcher_client.take().filter(|watcher_client| watcher_client.address() == watcher);
        let fetch = async move {
            let watcher_client = match watcher_client {
                Some(watcher_client) => watcher_client,
                None => PeerClient::connect(watcher).await?,
            };
            let response = watcher_client.fetch_update(after, WATCH_TIMEOUT).await?;
            Some((watcher_client, response))
        };
        let Some(fetched) = self.serve_while(fetch, stopping).await else { return };
        let fetched = fetched.filter(|(_, response)| response.store != StoreStatus::Unavailable);
        let Some((watcher_client, response)) = fetched else {
            info!("event=watcher_failed watcher={watcher}");
            self.source_selector.record_failure(watcher, now_ms());
            return;
        };
        self.watcher_client = Some(watcher_client);
        self.contact_restored();
        if let StoreStatus::Returning { remaining_ms } = response.store {
            self.set_returning(now_ms() + remaining_ms);
        }
        let is_recent = self.record_contact();
        if self.apply_update(response.update) {
            self.publish(is_recent);
            self.serve_while(sleep(BATCH_DELAY), stopping).await;
        }
    }

    /// Waits for `operation`. Meanwhile responds to requests, builds the view again when
    /// its time has come, and polls peers while the store is unavailable. Returns `None` when the node
    /// stops.
    async fn serve_while<T>(
        &mut self,
        operation: impl Future<Output = T>,
        stopping: &CancellationToken,
    ) -> Option<T> {
        tokio::pin!(operation);
        loop {
            self.continuity.record_run(now_ms());
            let next_build_ms =
                self.builder.next_build_ms().into_iter().chain(self.mirror.next_settle_ms()).min();
            let build_in_ms = next_build_ms.map(|at_ms| at_ms.saturating_sub(now_ms()).max(1));
            let mut peer_request = self.next_peer_request();
            let deadline = self.waiting_requests.iter().map(|request| request.deadline).min();
            tokio::select! {
                biased;
                output = &mut operation => {
                    self.peer_request = peer_request;
                    return Some(output);
                }
                () = stopping.cancelled() => return None,
                Some(request) = self.requests.recv() => self.handle_request(request),
                Some(reported) = self.peer_revisions.recv() => {
                    if reported.revision > self.mirror.complete_to() {
                        self.peer_ahead = Some(reported);
                    }
                }
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    self.respond_due();
                }
                () = sleep(Duration::from_millis(build_in_ms.unwrap_or(0))),
                    if build_in_ms.is_some() =>
                {
                    self.publish(false);
                }
                () = sleep(RUN_PERIOD) => {}
                response = peer_response(&mut peer_request) => {
                    peer_request = None;
                    if let Some(response) = response {
                        self.apply_peer_update(response.update);
                    }
                }
            }
            self.peer_request = peer_request;
        }
    }

    fn handle_request(&mut self, request: UpdateRequest) {
        let has_update = self.mirror.complete_to() > request.after;
        match has_update || request.deadline <= Instant::now() {
            true => self.respond(request),
            false => self.waiting_requests.push(request),
        }
    }

    fn respond(&self, request: UpdateRequest) {
        let update = self.mirror.update_after(request.after);
        let response = StoreUpdateResponse { store: self.store_status(), update };
        let _disconnected = request.responder.send(response).is_err();
    }

    /// Responds to the requests whose deadline has passed.
    fn respond_due(&mut self) {
        let now = Instant::now();
        let (due, waiting_requests): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting_requests)
            .into_iter()
            .partition(|request| request.deadline <= now);
        self.waiting_requests = waiting_requests;
        due.into_iter().for_each(|request| self.respond(request));
    }

    /// Responds to all waiting requests.
    fn respond_all(&mut self) {
        let waiting_requests = std::mem::take(&mut self.waiting_requests);
        waiting_requests.into_iter().for_each(|request| self.respond(request));
    }

    fn store_status(&self) -> StoreStatus {
        let remaining_ms = self.returning_until_ms.saturating_sub(now_ms());
        match self.contact {
            StoreContact::Connected if remaining_ms > 0 => StoreStatus::Returning { remaining_ms },
            StoreContact::Connected => StoreStatus::Available,
            StoreContact::Never | StoreContact::Lost { .. } => StoreStatus::Unavailable,
        }
    }

    /// Records that the store is available again; live upstreams register again by `until_ms`.
    fn set_returning(&mut self, until_ms: u64) {
        self.returning_until_ms = until_ms;
        self.builder.store_returned(until_ms);
    }

    /// Returns the request to a peer in flight, or a new one, while the store is unavailable or a
    /// peer is ahead of this node.
    fn next_peer_request(&mut self) -> Option<PeerRequest> {
        let peer_request = self.peer_request.take();
        let after = self.mirror.complete_to();
        self.peer_ahead = self.peer_ahead.filter(|ahead| ahead.revision > after);
        let (peer, delay) = match self.peer_ahead {
            Some(ahead) => (ahead.peer, PEER_LEAD_DELAY),
            None => (self.choose_peer()?, PEER_POLL_DELAY),
        };
        Some(peer_request.unwrap_or_else(|| {
            Box::pin(async move {
                sleep(delay).await;
                fetch_peer_update(peer, after).await
            })
        }))
    }

    fn choose_peer(&self) -> Option<SocketAddr> {
        if self.contact == StoreContact::Connected {
            return None;
        }
        let view = self.view.borrow();
        let members = view.members.iter().map(|member| member.address);
        let known = members.chain(self.options.seeds.iter().copied());
        let others: Vec<_> = known.filter(|peer| Some(*peer) != self.options.own_address).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rand::rng().random_range(0..others.len())])
    }

    fn apply_peer_update(&mut self, update: MirrorUpdate) {
        let (from, to) = (self.mirror.complete_to(), Revision::from_u64(update.complete_to));
        if to <= from {
            return;
        }
        info!("event=news_from_peer from={from} to={to} changes={}", update.entries.len());
        if self.apply_update(update) {
            // The peer itself may have learned of the changes late.
            self.publish(false);
        }
    }

    /// Records a contact with the store. Returns whether the changes since the last one happened just
    /// now.
    fn record_contact(&mut self) -> bool {
        let now_ms = now_ms();
        self.last_contact_ms.store(now_ms, Ordering::Relaxed);
        self.continuity.record_contact(now_ms)
    }

    fn contact_restored(&mut self) {
        match self.contact {
            StoreContact::Connected => return,
            StoreContact::Never => info!("event=store_contact state=first"),
            StoreContact::Lost { since_ms } => {
                let lost_ms = now_ms().saturating_sub(since_ms);
                info!("event=store_contact state=regained lost_ms={lost_ms}");
                self.set_returning(now_ms() + UNLISTED_RETENTION_MS);
            }
        }
        self.contact = StoreContact::Connected;
    }

    fn contact_lost(&mut self, error: &SharedStoreError) {
        if let StoreContact::Lost { .. } = self.contact {
            return;
        }
        warn!("event=store_contact state=lost reason={:?}", error.to_string());
        if self.contact == StoreContact::Connected {
            self.contact = StoreContact::Lost { since_ms: now_ms() };
            // Nodes that poll this node learn of the loss at once and switch to another source.
            self.respond_all();
            self.builder.store_unavailable(UNLISTED_RETENTION_MS);
        }
    }

    /// Applies a listing. One of a later era begins the time in which upstreams and nodes write
    /// their entries again.
    fn apply_listing(&mut self, listing: Listing) {
        let (items, complete_to) = (listing.items.len(), listing.complete_to);
        let is_restored = self.begins_era(complete_to);
        let changed = self.mirror.apply_listing(listing);
        self.metrics.store_listed();
        info!(
            "event=store_listed items={items} revision={complete_to} changed={changed} \
             complete_to={}",
            self.mirror.complete_to(),
        );
        if is_restored {
            self.set_returning(now_ms() + UNLISTED_RETENTION_MS);
        }
    }

    /// Applies an update from a peer, like a listing if it is of a later era. Returns whether the
    /// mirror changed.
    fn apply_update(&mut self, update: MirrorUpdate) -> bool {
        let is_restored = self.begins_era(Revision::from_u64(update.complete_to));
        let changed = self.mirror.apply_update(update);
        if is_restored {
            self.set_returning(now_ms() + UNLISTED_RETENTION_MS);
        }
        changed
    }

    /// Returns whether a revision is of a later era than the mirror, which has items already.
    fn begins_era(&self, revision: Revision) -> bool {
        let known = self.mirror.complete_to();
        known != Revision::default() && known.era() < revision.era()
    }

    /// Publishes the view; `is_recent` states whether its changes happened just now.
    fn publish(&mut self, is_recent: bool) {
        let now_ms = now_ms();
        let is_returning =
            self.contact != StoreContact::Connected || now_ms < self.returning_until_ms;
        self.mirror.settle(now_ms, is_returning);
        let view = Arc::new(self.builder.build(&self.mirror, is_recent, now_ms));
        self.metrics.view_revision(view.complete_to);
        self.view.send_replace(view);
        self.respond_all();
    }
}

fn retry_delay() -> Duration {
    RETRY_DELAY.mul_f64(rand::rng().random_range(0.6..1.4))
}

enum Fetched {
    Listing(Listing),
    Batch(redwingrill_routing::ChangeBatch),
}

/// Waits for the response to a request; never returns if there is none.
async fn peer_response(request: &mut Option<PeerRequest>) -> Option<StoreUpdateResponse> {
    match request {
        Some(request) => request.await,
        None => std::future::pending().await,
    }
}
