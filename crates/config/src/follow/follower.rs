//! The task that keeps a node's configuration up to date with the accepted one.
//!
//! It detects a change through a watch, through polls (which find what a silent watch missed), or
//! through peers; fetches the missing chunks; and publishes the result as one snapshot.
//! [`Follower::run`] drops its future at cancellation.
//!
//! ```text
//! observed (watch, poll, peer) -> pending -> fetching -> in force -> announced
//!                                   ^           | chunk missing or no response
//!                                   +-----------+
//! ```

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::ChunkSource;
use super::ConfigCache;
use super::FollowerStatus;
use super::decision::Decision;
use super::decision::Origin;
use super::decision::decide;
use super::fetch::ChunkRequest;
use super::fetch::FetchOutcome;
use super::fetch::fetch_chunks;
use super::pacing::CallBudget;
use super::pacing::Pacing;
use super::repair::repair;
use super::timers::Timers;
use super::watcher::WatchEvent;
use super::watcher::Watcher;
use crate::Manifest;
use crate::ManifestRelation;
use crate::Snapshot;
use crate::StoredManifest;
use crate::storage::Assembler;
use crate::storage::read_manifest;
use redwingrill_entity::Names;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;

/// The timeout of fetching a manifest from peers.
const PEER_MANIFEST_TIMEOUT: Duration = Duration::from_secs(1);

/// A pending manifest is abandoned after this number of consecutive rounds that fetched no new
/// chunk, in favour of one that can be fetched.
const FETCH_ROUND_LIMIT: u32 = 8;

/// Access to what a follower publishes.
#[derive(Clone, Debug)]
pub struct FollowerHandle {
    /// The configuration in force; it has generation zero until there is one.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// The data to serve to peers.
    pub cache: ConfigCache,
    /// The follower's state, for the dump.
    pub status: watch::Receiver<FollowerStatus>,
}

/// The follower of one node.
#[derive(Debug)]
pub struct Follower<S, C> {
    store: S,
    source: C,
    names: Arc<Mutex<Names>>,
    cache: ConfigCache,
    assembler: Assembler,
    snapshots: watch::Sender<Arc<Snapshot>>,
    status: watch::Sender<FollowerStatus>,
    pacing: Pacing,
    budget: CallBudget,
    timers: Timers,
    in_force: Option<Manifest>,
    pending: Option<Manifest>,
    pending_rounds: u32,
    repair_rounds: u32,
    store_revision: Revision,
    watcher: Option<Watcher>,
}

impl<S: Store, C: ChunkSource> Follower<S, C> {
    /// Creates a follower without a configuration in force. Each node needs its own `seed` for
    /// jitter.
    pub fn new(store: S, source: C, names: Arc<Mutex<Names>>, seed: u64) -> (Self, FollowerHandle) {
        let snapshots = watch::Sender::new(Arc::new(Snapshot::default()));
        let status = watch::Sender::new(FollowerStatus::default());
        let cache = ConfigCache::default();
        let handle = FollowerHandle {
            snapshots: snapshots.subscribe(),
            cache: cache.clone(),
            status: status.subscribe(),
        };
        let now = Instant::now();
        let follower = Self {
            store,
            source,
            names,
            cache,
            assembler: Assembler::default(),
            snapshots,
            status,
            pacing: Pacing::new(SmallRng::seed_from_u64(seed)),
            budget: CallBudget::new(now),
            timers: Timers::starting_at(now),
            in_force: None,
            pending: None,
            pending_rounds: 0,
            repair_rounds: 0,
            store_revision: Revision::default(),
            watcher: None,
        };
        (follower, handle)
    }

    /// Follows the configuration until cancelled, then closes the watch.
    pub async fn run(mut self, cancel: CancellationToken) {
        tokio::select! {
            biased;
            () = cancel.cancelled() => {}
            () = self.follow() => {}
        }
        if let Some(watcher) = self.watcher.take() {
            watcher.close().await;
        }
    }

    async fn follow(&mut self) {
        self.update_pacing();
        tokio::time::sleep(self.pacing.fetch_delay()).await;
        loop {
            self.update_pacing();
            self.run_due_tasks().await;
            self.publish_status();
            self.wait_for_event().await;
        }
    }

    fn update_pacing(&mut self) {
        self.pacing.set_live_nodes(self.source.live_nodes());
        // A starting node knows few peers, and the whole fleet may be starting with it.
        self.pacing.set_starting(self.in_force.is_none());
    }

    /// Runs all tasks that are due.
    async fn run_due_tasks(&mut self) {
        if self.timers.peer.take_due() {
            self.check_peers().await;
            self.timers.peer.set(self.pacing.peer_check_delay());
        }
        if self.timers.poll.take_due() {
            self.poll_store().await;
        }
        if self.timers.fetch.take_due() {
            self.fetch().await;
        }
        if self.timers.repair.take_due() {
            self.repair().await;
        }
    }

    /// Waits until a task is due, or until the watch reports an event and handles it.
    async fn wait_for_event(&mut self) {
        let due = self.timers.next();
        let Some(watcher) = &mut self.watcher else {
            return tokio::time::sleep_until(due).await;
        };
        let event = tokio::select! {
            biased;
            event = watcher.next() => event,
            () = tokio::time::sleep_until(due) => return,
        };
        self.on_watch_event(event).await;
    }

    async fn on_watch_event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Written(stored) => {
                self.store_revision = stored.revision;
                self.observe(Some(stored.manifest), Origin::Store);
            }
            WatchEvent::RereadNeeded => self.timers.poll.bring_forward(self.pacing.retry_delay()),
            WatchEvent::Ended(error) => {
                log::info!("event=config_watch_ended reason=\"{error}\"");
                self.close_watch().await;
                self.timers.poll.bring_forward(self.pacing.poll_delay());
            }
        }
    }

    async fn check_peers(&mut self) {
        let generation = self.source.newest_generation();
        let known = self.pending.as_ref().or(self.in_force.as_ref()).map(|m| m.generation);
        if generation <= known.unwrap_or_default() {
            return;
        }
        let response = tokio::time::timeout(PEER_MANIFEST_TIMEOUT, self.source.newest_manifest());
        let Ok(Some(bytes)) = response.await else { return };
        match Manifest::decode(&bytes) {
            Ok(manifest) => self.observe(Some(manifest), Origin::Peer),
            Err(error) => log::warn!("event=config_peer_manifest_refused reason=\"{error}\""),
        }
    }

    async fn poll_store(&mut self) {
        let no_manifest = self.in_force.is_none() && self.pending.is_none();
        if !no_manifest && !self.budget.take(Instant::now(), self.pacing.call_rate()) {
            return self.timers.poll.set(self.pacing.retry_delay());
        }
        self.count_store_call();
        // A starting node polls the store even if peers respond: they may be behind the
        // configuration that it had in force before the restart.
        let poll_timeout = self.pacing.poll_timeout();
        let read = tokio::time::timeout(poll_timeout, read_manifest(&self.store)).await;
        self.timers.poll.set(self.pacing.poll_delay());
        match read {
            Ok(Ok(stored)) => self.on_store_read(stored).await,
            Ok(Err(error)) => self.on_poll_failed(&error.to_string()),
            Err(_) => self.on_poll_failed("timed out"),
        }
    }

    fn on_poll_failed(&mut self, reason: &str) {
        self.timers.poll.set(self.pacing.failed_poll_delay());
        log::info!("event=config_poll_failed reason=\"{reason}\"");
        self.status.send_modify(|status| status.failed_calls += 1);
    }

    async fn on_store_read(&mut self, stored: Option<StoredManifest>) {
        let revision = stored.as_ref().map_or(Revision::default(), |stored| stored.revision);
        if revision != self.store_revision {
            // The watch missed a change, or the store was restored from an old copy, so the watch
            // is no longer reliable.
            self.close_watch().await;
            self.store_revision = revision;
        }
        self.observe(stored.map(|stored| stored.manifest), Origin::Store);
        if self.pending.is_none() {
            self.open_watch();
        }
    }

    fn open_watch(&mut self) {
        if self.watcher.is_none() {
            self.count_store_call();
            self.watcher = Some(Watcher::open(self.store.clone(), self.store_revision));
        }
    }

    async fn close_watch(&mut self) {
        if let Some(watcher) = self.watcher.take() {
            watcher.close().await;
        }
    }

    fn observe(&mut self, observed: Option<Manifest>, origin: Origin) {
        match decide(self.in_force.as_ref(), observed.as_ref(), origin) {
            Decision::Keep if origin == Origin::Store => {
                self.repair_rounds = 0;
                self.timers.repair.clear();
            }
            Decision::Keep => {}
            Decision::Adopt => self.schedule_fetch(observed),
            Decision::WriteBack | Decision::Rebase => {
                let delay = self.pacing.repair_delay(self.repair_rounds);
                self.timers.repair.bring_forward(delay);
            }
        }
    }

    fn schedule_fetch(&mut self, observed: Option<Manifest>) {
        let Some(observed) = observed else { return };
        let pending = self.pending.as_ref();
        if pending.is_none_or(|pending| pending.relation_of(&observed) == ManifestRelation::Newer) {
            self.pending = Some(observed);
            self.pending_rounds = 0;
            self.timers.fetch.set(self.pacing.fetch_delay());
        }
    }

    async fn fetch(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        let requests = self.chunk_requests(&pending);
        let outcomes = fetch_chunks(&self.store, &self.source, &requests).await;
        let any_missing = outcomes.iter().any(|outcome| matches!(outcome, FetchOutcome::Missing));
        let chunks_before = self.cache.size().0;
        let complete = self.record_outcomes(outcomes);
        if complete {
            self.put_in_force(pending);
            if self.store_revision != Revision::default() {
                self.open_watch();
            }
            return;
        }
        let progressed = self.cache.size().0 > chunks_before;
        self.pending_rounds = if progressed { 1 } else { self.pending_rounds + 1 };
        if any_missing || self.pending_rounds == FETCH_ROUND_LIMIT {
            self.timers.poll.bring_forward(self.pacing.retry_delay());
        }
        if self.pending_rounds == FETCH_ROUND_LIMIT {
            return;
        }
        self.pending = Some(pending);
        self.timers.fetch.set(self.pacing.backoff_delay(self.pending_rounds));
    }

    fn chunk_requests(&mut self, manifest: &Manifest) -> Vec<ChunkRequest> {
        let missing = manifest.chunks.iter().filter(|c| self.cache.chunk(c.hash).is_none());
        let mut missing: Vec<_> = missing.copied().collect();
        // Nodes that start together fetch different chunks first and get the rest from peers.
        self.pacing.shuffle(&mut missing);
        let (now, call_rate) = (Instant::now(), self.pacing.call_rate());
        let requests = missing
            .into_iter()
            .map(|chunk| ChunkRequest { chunk, store_allowed: self.budget.take(now, call_rate) });
        requests.collect()
    }

    /// Caches fetched chunks and counts calls. Returns whether all chunks were fetched.
    fn record_outcomes(&mut self, outcomes: Vec<FetchOutcome>) -> bool {
        let mut complete = true;
        for outcome in outcomes {
            match outcome {
                FetchOutcome::FromPeer(hash, bytes) => {
                    self.budget.refund();
                    self.status.send_modify(|status| status.chunks_from_peers += 1);
                    self.cache.insert(hash, bytes);
                }
                FetchOutcome::FromStore(hash, bytes) => {
                    self.count_store_call();
                    self.status.send_modify(|status| status.chunks_from_store += 1);
                    self.cache.insert(hash, bytes);
                }
                FetchOutcome::Missing | FetchOutcome::Failed => {
                    self.count_store_call();
                    complete = false;
                }
                FetchOutcome::Deferred => complete = false,
            }
        }
        complete
    }

    fn put_in_force(&mut self, manifest: Manifest) {
        // Another manifest may have come into force since this one was observed.
        if decide(self.in_force.as_ref(), Some(&manifest), Origin::Peer) != Decision::Adopt {
            return;
        }
        let cached = |hash| Some((hash, self.cache.chunk(hash)?));
        let chunks: Option<Vec<_>> =
            manifest.chunks.iter().map(|chunk| cached(chunk.hash)).collect();
        let Some(chunks) = chunks else { return };
        let state = {
            let mut names = self.names.lock().expect("no thread panics while holding the lock");
            self.assembler.assemble(&chunks, &mut names)
        };
        let generation = manifest.generation;
        match state {
            Ok(state) => {
                self.cache.adopt(&manifest);
                self.in_force = Some(manifest);
                self.snapshots.send_replace(Arc::new(Snapshot::new(generation, state)));
                log::info!("event=config_in_force generation={}", generation.0);
            }
            Err(error) => {
                log::error!(
                    "event=config_malformed generation={} reason=\"{error}\"",
                    generation.0
                );
            }
        }
    }

    async fn repair(&mut self) {
        let Some(in_force) = &self.in_force else { return };
        let store_calls = repair(&self.store, in_force, &self.cache).await;
        self.status.send_modify(|status| status.store_calls += store_calls);
        self.repair_rounds += 1;
        self.timers.poll.bring_forward(self.pacing.backoff_delay(self.repair_rounds));
    }

    fn count_store_call(&self) {
        self.status.send_modify(|status| status.store_calls += 1);
    }

    fn publish_status(&self) {
        let (chunks, chunk_bytes) = self.cache.size();
        self.status.send_modify(|status| {
            status.generation = self.cache.generation().0;
            status.pending_generation = self.pending.as_ref().map(|pending| pending.generation.0);
            status.watch_open = self.watcher.is_some();
            status.chunks = chunks;
            status.chunk_bytes = chunk_bytes;
        });
    }
}
