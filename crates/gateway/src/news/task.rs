//! The task that follows the store, and peers while the store does not answer.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::Board;
use super::BoardUpdate;
use crate::beliefs::BeliefBuilder;
use crate::beliefs::Beliefs;
use crate::clock::now_ms;
use crate::peers::ask_peer;
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
pub struct NewsOptions {
    /// Addresses of nodes to ask before any member is known.
    pub seeds: Vec<std::net::SocketAddr>,
    /// The address for peers of this node, which is not asked.
    pub own_address: Option<std::net::SocketAddr>,
}

/// The way of others to the news.
#[derive(Clone, Debug)]
pub struct NewsReader {
    questions: mpsc::Sender<Question>,
}

#[derive(Debug)]
struct Question {
    after: Revision,
    reply: oneshot::Sender<BoardUpdate>,
}

impl NewsReader {
    /// Returns what changed after a revision; `None` once the task has ended.
    pub async fn update_after(&self, after: Revision) -> Option<BoardUpdate> {
        let (reply, answer) = oneshot::channel();
        self.questions.send(Question { after, reply }).await.ok()?;
        answer.await.ok()
    }
}

/// The task.
pub struct News<S, D> {
    store: S,
    options: NewsOptions,
    board: Board,
    builder: BeliefBuilder<D>,
    beliefs: watch::Sender<Arc<Beliefs>>,
    questions: mpsc::Receiver<Question>,
    metrics: Metrics,
    contact: Contact,
}

/// Whether the store answers this node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Contact {
    Never,
    Held,
    Lost { since_ms: u64 },
}

impl<S: SharedStore, D: ItemDialect> News<S, D> {
    /// Makes the task, the way to it, and the beliefs that it keeps.
    pub fn new(
        store: S,
        dialect: Arc<D>,
        options: NewsOptions,
        metrics: Metrics,
    ) -> (Self, NewsReader, watch::Receiver<Arc<Beliefs>>) {
        let (sender, questions) = mpsc::channel(64);
        let (beliefs, reader) = watch::channel(Arc::default());
        let task = Self {
            store,
            options,
            board: Board::default(),
            builder: BeliefBuilder::new(dialect),
            beliefs,
            questions,
            metrics,
            contact: Contact::Never,
        };
        (task, NewsReader { questions: sender }, reader)
    }

    /// Runs until `stopping`.
    pub async fn run(mut self, stopping: CancellationToken) {
        let mut must_list = true;
        while !stopping.is_cancelled() {
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

    /// Waits for something, and meanwhile answers questions, ends holds, and asks peers while the
    /// store does not answer. Returns `None` when the node stops.
    async fn while_waiting<T>(
        &mut self,
        waited: impl Future<Output = T>,
        stopping: &CancellationToken,
    ) -> Option<T> {
        tokio::pin!(waited);
        loop {
            let hold_ends = self.builder.next_hold_end_ms();
            let hold = hold_ends.map(|end_ms| end_ms.saturating_sub(now_ms()).max(1));
            let peer = self.peer_to_ask();
            tokio::select! {
                biased;
                done = &mut waited => return Some(done),
                () = stopping.cancelled() => return None,
                Some(Question { after, reply }) = self.questions.recv() => {
                    let _gone = reply.send(self.board.update_after(after)).is_err();
                }
                () = sleep(Duration::from_millis(hold.unwrap_or(0))), if hold.is_some() => {
                    self.publish();
                }
                update = ask_after_pause(peer, self.board.complete_to()), if peer.is_some() => {
                    if let Some(update) = update {
                        self.heard_of_peer(update);
                    }
                }
            }
        }
    }

    fn peer_to_ask(&self) -> Option<std::net::SocketAddr> {
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

    fn heard_of_peer(&mut self, update: BoardUpdate) {
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
                self.builder.store_returned(now_ms() + LAPSE_HOLD_MS);
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
            self.builder.store_away(LAPSE_HOLD_MS);
        }
    }

    fn publish(&mut self) {
        let beliefs = Arc::new(self.builder.build(&self.board, now_ms()));
        self.metrics.beliefs(beliefs.complete_to.0);
        self.beliefs.send_replace(beliefs);
    }
}

enum Heard {
    Listing(redwingrill_routing::Listing),
    Batch(redwingrill_routing::ChangeBatch),
}

async fn ask_after_pause(
    peer: Option<std::net::SocketAddr>,
    after: Revision,
) -> Option<BoardUpdate> {
    sleep(PEER_PAUSE).await;
    ask_peer(peer?, after).await
}
