//! The task that follows the store, and peers while the store does not answer.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
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
use redwingrill_routing::ItemDialect;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::StoreFault;

/// How long the store keeps a call without changes waiting; bounds how late silence is noticed.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// The pause after a batch of changes, so that a series of them costs few calls.
const BATCH_PAUSE: Duration = Duration::from_millis(120);

/// The pause after a failed call, and how much of it is random.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The pause between questions to peers while the store does not answer.
const PEER_PAUSE: Duration = Duration::from_millis(300);

/// How long after the store's return upstreams that it no longer lists are kept: live ones are
/// listed again within about two seconds.
const LAPSE_HOLD_MS: u64 = 2_100;

/// What the task is made with.
#[derive(Clone, Debug)]
pub struct StoreSyncOptions {
    /// The name of the node.
    pub node: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Addresses of nodes to ask before any member is known.
    pub seeds: Vec<SocketAddr>,
    /// The address for peers of this node, which is not asked.
    pub own_address: Option<SocketAddr>,
}

/// The way of others to the news.
#[derive(Clone, Debug)]
pub struct StoreReader {
    questions: mpsc::Sender<Question>,
}

#[derive(Debug)]
struct Question {
    after: Revision,
    // It is answered then, news or not.
    answer_by: Instant,
    reply: oneshot::Sender<StoreUpdateResponse>,
}

impl StoreReader {
    /// Returns what changed after a revision, and waits for something up to `wait`; `None` once the
    /// task has ended.
    pub async fn update_after(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Option<StoreUpdateResponse> {
        let (reply, answer) = oneshot::channel();
        let answer_by = Instant::now() + wait;
        self.questions.send(Question { after, answer_by, reply }).await.ok()?;
        answer.await.ok()
    }
}

/// The task.
pub struct StoreSync<S, D> {
    store: S,
    options: StoreSyncOptions,
    board: StoreMirror,
    builder: ClusterViewBuilder<D>,
    beliefs: watch::Sender<Arc<ClusterView>>,
    questions: mpsc::Receiver<Question>,
    // Questions of peers that wait for news.
    waiting: Vec<Question>,
    sources: SourceSelector,
    // The connection to the watcher that was asked last.
    link: Option<PeerClient>,
    // The question to a peer that is under way. It outlives the calls to the store beside it, which
    // may fail faster than it is answered.
    asking: Option<PeerQuestion>,
    returning_until_ms: u64,
    metrics: Metrics,
    contact: Contact,
}

type PeerQuestion = Pin<Box<dyn Future<Output = Option<StoreUpdateResponse>> + Send>>;

/// Whether the store answers this node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Contact {
    Never,
    Held,
    Lost { since_ms: u64 },
}

impl<S: SharedStore, D: ItemDialect> StoreSync<S, D> {
    /// Makes the task, the way to it, and the beliefs that it keeps.
    pub fn new(
        store: S,
        dialect: Arc<D>,
        options: StoreSyncOptions,
        metrics: Metrics,
    ) -> (Self, StoreReader, watch::Receiver<Arc<ClusterView>>) {
        let (sender, questions) = mpsc::channel(64);
        let (beliefs, reader) = watch::channel(Arc::default());
        let task = Self {
            store,
            board: StoreMirror::default(),
            builder: ClusterViewBuilder::new(dialect),
            beliefs,
            questions,
            waiting: Vec::new(),
            sources: SourceSelector::new(options.node.clone(), options.failure_domain.clone()),
            options,
            link: None,
            asking: None,
            returning_until_ms: 0,
            metrics,
            contact: Contact::Never,
        };
        (task, StoreReader { questions: sender }, reader)
    }

    /// Runs until `stopping`.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut must_list = true;
        while !stopping.is_cancelled() {
            let source = match must_list {
                true => Source::Store,
                false => self.sources.choose(&self.beliefs.borrow().members, now_ms()),
            };
            if let Source::Watcher(watcher) = source {
                self.follow(watcher, &stopping).await;
                continue;
            }
            self.link = None;
            let store = self.store.clone();
            let after = self.board.complete_to();
            let hearing = async {
                match must_list {
                    true => store.list("").await.map(Heard::Listing),
                    false => store.changes("", after, WATCH_WAIT).await.map(Heard::Batch),
                }
            };
            let Some(heard) = self.while_waiting(hearing, &stopping).await else { return };
            self.metrics.store_call(heard.is_ok());
            match heard {
                Ok(Heard::Listing(listing)) => {
                    must_list = false;
                    self.regained();
                    self.board.apply_listing(listing);
                    self.publish();
                }
                Ok(Heard::Batch(batch)) => {
                    self.regained();
                    let changed = self.board.apply_batch(batch.changes, batch.complete_to);
                    if changed {
                        self.publish();
                        self.while_waiting(sleep(BATCH_PAUSE), &stopping).await;
                    }
                }
                Err(StoreFault::HistoryDropped) => {
                    info!("event=store_history_dropped complete_to={}", after.0);
                    must_list = true;
                }
                Err(fault) => {
                    self.lost(&fault);
                    let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.6..1.4));
                    self.while_waiting(sleep(pause), &stopping).await;
                }
            }
        }
    }

    /// Hears of a node that watches the store. One that fails, or does not hear the store itself, is
    /// passed over for a while.
    async fn follow(&mut self, watcher: SocketAddr, stopping: &CancellationToken) {
        let after = self.board.complete_to();
        let link = self.link.take().filter(|link| link.address() == watcher);
        let asking = async move {
            let link = match link {
                Some(link) => link,
                None => PeerClient::connect(watcher).await?,
            };
            let answer = link.fetch_update(after, WATCH_WAIT).await?;
            Some((link, answer))
        };
        let Some(heard) = self.while_waiting(asking, stopping).await else { return };
        let heard = heard.filter(|(_, answer)| answer.store != StoreStatus::Unavailable);
        let Some((link, answer)) = heard else {
            info!("event=watcher_failed watcher={watcher}");
            self.sources.record_failure(watcher, now_ms());
            return;
        };
        self.link = Some(link);
        self.regained();
        if let StoreStatus::Returning { remaining_ms } = answer.store {
            self.returns(now_ms() + remaining_ms);
        }
        if self.board.apply_update(answer.update) {
            self.publish();
            self.while_waiting(sleep(BATCH_PAUSE), stopping).await;
        }
    }

    /// Waits for something, and meanwhile answers questions, ends holds, and asks peers while the
    /// store does not answer. Returns `None` when the node stops.
    async fn while_waiting<T>(
        &mut self,
        waited: impl Future<Output = T>,
        stopping: &CancellationToken,
    ) -> Option<T> {
        tokio::pin!(waited);
        loop {
            let hold_ends = self.builder.next_retention_end_ms();
            let hold = hold_ends.map(|end_ms| end_ms.saturating_sub(now_ms()).max(1));
            let mut asking = self.question_to_peer();
            let answer_by = self.waiting.iter().map(|question| question.answer_by).min();
            tokio::select! {
                biased;
                done = &mut waited => {
                    self.asking = asking;
                    return Some(done);
                }
                () = stopping.cancelled() => return None,
                Some(question) = self.questions.recv() => self.question(question),
                () = sleep_until(answer_by.unwrap_or_else(Instant::now)), if answer_by.is_some() => {
                    self.answer_due();
                }
                () = sleep(Duration::from_millis(hold.unwrap_or(0))), if hold.is_some() => {
                    self.publish();
                }
                answer = asked(&mut asking) => {
                    asking = None;
                    if let Some(answer) = answer {
                        self.heard_of_peer(answer.update);
                    }
                }
            }
            self.asking = asking;
        }
    }

    fn question(&mut self, question: Question) {
        let has_news = self.board.complete_to() > question.after;
        match has_news || question.answer_by <= Instant::now() {
            true => self.answer(question),
            false => self.waiting.push(question),
        }
    }

    fn answer(&self, question: Question) {
        let update = self.board.update_after(question.after);
        let answer = StoreUpdateResponse { store: self.store_view(), update };
        let _gone = question.reply.send(answer).is_err();
    }

    /// Answers the questions whose time has come.
    fn answer_due(&mut self) {
        let now = Instant::now();
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|q| q.answer_by <= now);
        self.waiting = waiting;
        due.into_iter().for_each(|question| self.answer(question));
    }

    /// Answers all questions that wait.
    fn answer_all(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().for_each(|question| self.answer(question));
    }

    fn store_view(&self) -> StoreStatus {
        let remaining_ms = self.returning_until_ms.saturating_sub(now_ms());
        match self.contact {
            Contact::Held if remaining_ms > 0 => StoreStatus::Returning { remaining_ms },
            Contact::Held => StoreStatus::Available,
            Contact::Never | Contact::Lost { .. } => StoreStatus::Unavailable,
        }
    }

    /// Notes that the store answers again; live upstreams are listed again by `until_ms`.
    fn returns(&mut self, until_ms: u64) {
        self.returning_until_ms = until_ms;
        self.builder.store_returned(until_ms);
    }

    /// Returns the question to a peer that is under way, or a new one, while the store is away.
    fn question_to_peer(&mut self) -> Option<PeerQuestion> {
        let asking = self.asking.take();
        let peer = self.peer_to_ask()?;
        let after = self.board.complete_to();
        Some(asking.unwrap_or_else(|| {
            Box::pin(async move {
                sleep(PEER_PAUSE).await;
                fetch_peer_update(peer, after).await
            })
        }))
    }

    fn peer_to_ask(&self) -> Option<SocketAddr> {
        if self.contact == Contact::Held {
            return None;
        }
        let beliefs = self.beliefs.borrow();
        let members = beliefs.members.iter().map(|member| member.address);
        let known = members.chain(self.options.seeds.iter().copied());
        let others: Vec<_> = known.filter(|peer| Some(*peer) != self.options.own_address).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[rand::rng().random_range(0..others.len())])
    }

    fn heard_of_peer(&mut self, update: MirrorUpdate) {
        let (from, to) = (self.board.complete_to().0, update.complete_to);
        if to <= from {
            return;
        }
        info!("event=news_from_peer from={from} to={to} changes={}", update.entries.len());
        if self.board.apply_update(update) {
            self.publish();
        }
    }

    fn regained(&mut self) {
        match self.contact {
            Contact::Held => return,
            Contact::Never => info!("event=store_contact state=first"),
            Contact::Lost { since_ms } => {
                let lost_ms = now_ms().saturating_sub(since_ms);
                info!("event=store_contact state=regained lost_ms={lost_ms}");
                self.returns(now_ms() + LAPSE_HOLD_MS);
            }
        }
        self.contact = Contact::Held;
    }

    fn lost(&mut self, fault: &StoreFault) {
        if let Contact::Lost { .. } = self.contact {
            return;
        }
        warn!("event=store_contact state=lost reason={:?}", fault.to_string());
        if self.contact == Contact::Held {
            self.contact = Contact::Lost { since_ms: now_ms() };
            // Those that hear of this node hear of another one now.
            self.answer_all();
            self.builder.store_unavailable(LAPSE_HOLD_MS);
        }
    }

    fn publish(&mut self) {
        let beliefs = Arc::new(self.builder.build(&self.board, now_ms()));
        self.metrics.view_revision(beliefs.complete_to.0);
        self.beliefs.send_replace(beliefs);
        self.answer_all();
    }
}

enum Heard {
    Listing(redwingrill_routing::Listing),
    Batch(redwingrill_routing::ChangeBatch),
}

/// Waits for the answer to a question; forever if there is none.
async fn asked(question: &mut Option<PeerQuestion>) -> Option<StoreUpdateResponse> {
    match question {
        Some(question) => question.await,
        None => std::future::pending().await,
    }
}
