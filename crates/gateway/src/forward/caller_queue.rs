//! What waits for callers that read slowly.
//!
//! The load pattern: hundreds of callers that read slowly, and engines that cut a response that
//! stays unread for some seconds. So a relay reads on while its caller does not, and what the caller
//! has not read yet waits here.
//!
//! Invariants:
//! - Bytes count toward the budget and toward their queue until they are written to the caller's
//!   socket or dropped.
//! - While the budget is exhausted, one queue at a time is aborted, the largest first, and only if
//!   it holds at least as much as is missing.
//! - A queue that its caller keeps empty is not registered and never aborted.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::telemetry::Metrics;
use redwingrill_transport::BudgetExceeded;
use redwingrill_transport::BudgetedBuffer;
use redwingrill_transport::ByteBudget;

/// The size from which a new block is begun, so that what a caller has read is released in steps.
const BLOCK_BYTES: usize = 16 << 10;

/// The part of the budget (a half) that is not for what slow callers have not read. Without any,
/// streams of other callers broke because their incomplete events found no room; with an eighth, 300
/// slow callers took a node with 120 MB to 45 MB.
const RESERVED_PART: usize = 2;

/// The least time between two searches for the largest queue. Hundreds of relays that wait for room
/// would each search all queues 50 times a second.
const SEARCH_PERIOD: Duration = Duration::from_millis(5);

/// Why a queue was aborted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AbortCause {
    /// The caller read nothing while its queue was full.
    CallerBound,
    /// The budget of all queues was exhausted and this one held the most.
    Budget,
}

impl AbortCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::CallerBound => "caller_bound",
            Self::Budget => "budget",
        }
    }
}

/// The request of a queue, for log lines.
#[derive(Clone, Debug, Default)]
pub struct QueueLabel {
    /// The identifier of the request.
    pub request_id: String,
    /// The name of the client account.
    pub account: String,
}

/// The queues of a node's callers. Clones share them.
#[derive(Clone, Debug)]
pub struct CallerQueues {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: ByteBudget,
    metrics: Metrics,
    // Those whose caller was seen to be slow, by the address of the queue.
    slow: Mutex<HashMap<usize, Weak<CallerQueue>>>,
    last_search: Mutex<Option<Instant>>,
}

impl CallerQueues {
    /// Creates an empty set; its queues draw on `budget`.
    pub fn new(budget: &ByteBudget, metrics: Metrics) -> Self {
        let (budget, slow) = (budget.clone(), Mutex::default());
        let last_search = Mutex::default();
        Self { shared: Arc::new(Shared { budget, metrics, slow, last_search }) }
    }

    /// Returns the number of slow callers and the bytes that wait for them.
    pub fn usage(&self) -> (usize, usize) {
        let queues = self.slow_queues();
        (queues.len(), queues.iter().map(|queue| queue.held_bytes()).sum())
    }

    /// Aborts the queue that holds the most, if it holds at least `missing_bytes`. Does nothing
    /// while a queue that was aborted still has bytes to release.
    pub(super) fn abort_largest(&self, missing_bytes: usize) {
        if !self.may_search() {
            return;
        }
        let queues = self.slow_queues();
        if queues.iter().any(|queue| queue.is_aborted() && queue.held_bytes() > 0) {
            return;
        }
        let held = queues.iter().filter(|queue| !queue.is_aborted());
        let Some(largest) = held.max_by_key(|queue| queue.held_bytes()) else { return };
        if largest.held_bytes() >= missing_bytes.max(1) {
            largest.abort(AbortCause::Budget);
        }
    }

    fn may_search(&self) -> bool {
        let now = Instant::now();
        let last_search = &self.shared.last_search;
        let mut last = last_search.lock().expect("no thread panics while holding the lock");
        let is_due = last.is_none_or(|last| now.duration_since(last) >= SEARCH_PERIOD);
        if is_due {
            *last = Some(now);
        }
        is_due
    }

    /// Returns the queues without the lock, which the drop of a queue takes.
    fn slow_queues(&self) -> Vec<Arc<CallerQueue>> {
        self.slow().values().filter_map(Weak::upgrade).collect()
    }

    fn slow(&self) -> MutexGuard<'_, HashMap<usize, Weak<CallerQueue>>> {
        self.shared.slow.lock().expect("no thread panics while holding the lock")
    }
}

/// What waits for one caller.
#[derive(Debug)]
pub(super) struct CallerQueue {
    queues: CallerQueues,
    label: QueueLabel,
    blocks: Mutex<VecDeque<BudgetedBuffer>>,
    // The blocks, and what was taken of them and is not written yet.
    held_bytes: AtomicUsize,
    is_registered: AtomicBool,
    is_aborted: AtomicBool,
    // Cancelled by an abort; ends the connection, which may wait for its caller to read.
    aborting: CancellationToken,
    // Signalled when bytes were added, or the queue was aborted.
    pub(super) filled: Notify,
    // Signalled when bytes were released.
    pub(super) released: Notify,
}

impl CallerQueue {
    pub(super) fn new(
        queues: &CallerQueues,
        label: QueueLabel,
        aborting: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            queues: queues.clone(),
            label,
            blocks: Mutex::default(),
            held_bytes: AtomicUsize::new(0),
            is_registered: AtomicBool::new(false),
            is_aborted: AtomicBool::new(false),
            aborting,
            filled: Notify::new(),
            released: Notify::new(),
        })
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    pub(super) fn is_aborted(&self) -> bool {
        self.is_aborted.load(Ordering::Acquire)
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if the budget does not allow it now. Another queue, or this one, may have
    /// been aborted, so that it does later.
    pub(super) fn push(self: &Arc<Self>, piece: &[u8]) -> Result<(), BudgetExceeded> {
        let pushed = self.append(piece);
        let is_behind = pushed.is_err() || self.held_bytes() > piece.len();
        if is_behind && !self.is_registered.swap(true, Ordering::Relaxed) {
            self.queues.slow().insert(self.key(), Arc::downgrade(self));
        }
        match pushed {
            Ok(()) => self.filled.notify_one(),
            Err(BudgetExceeded) => self.queues.abort_largest(piece.len()),
        }
        pushed
    }

    /// Copies a piece into a block. A slice of its connection's read buffer would keep the whole
    /// buffer (8 KB and more) in memory.
    fn append(&self, piece: &[u8]) -> Result<(), BudgetExceeded> {
        let budget = &self.queues.shared.budget;
        // The rule of the budget for a single buffer, for all blocks of the queue together.
        let limit_bytes = budget.limit_bytes() - budget.limit_bytes() / RESERVED_PART;
        let free_bytes = limit_bytes.saturating_sub(budget.used_bytes());
        let held_bytes = self.held_bytes();
        if held_bytes > 0 && held_bytes + piece.len() > free_bytes {
            return Err(BudgetExceeded);
        }
        let mut blocks = self.blocks();
        let fits = |last: &&mut BudgetedBuffer| last.len() + piece.len() <= BLOCK_BYTES;
        match blocks.back_mut().filter(fits) {
            Some(last) => last.extend(piece)?,
            None => {
                let mut block = BudgetedBuffer::new(budget);
                block.extend(piece)?;
                blocks.push_back(block);
            }
        }
        self.held_bytes.fetch_add(piece.len(), Ordering::Relaxed);
        Ok(())
    }

    /// Takes the next block, if there is one.
    pub(super) fn take(self: &Arc<Self>) -> Option<Bytes> {
        let block = self.blocks().pop_front()?;
        let taken = TakenBlock { data: block.freeze(), queue: self.clone() };
        Some(Bytes::from_owner(taken))
    }

    /// Drops what waits, breaks the stream off and closes the connection.
    pub(super) fn abort(&self, cause: AbortCause) {
        if self.is_aborted.swap(true, Ordering::AcqRel) {
            return;
        }
        let (held_bytes, budget) = (self.held_bytes(), &self.queues.shared.budget);
        warn!(
            "event=stream_aborted request_id={} account={} cause={} held_bytes={held_bytes} \
             buffered_bytes={} limit_bytes={}",
            self.label.request_id,
            self.label.account,
            cause.as_str(),
            budget.used_bytes(),
            budget.limit_bytes(),
        );
        self.queues.shared.metrics.stream_aborted(cause.as_str());
        let dropped = std::mem::take(&mut *self.blocks());
        self.release(dropped.iter().map(BudgetedBuffer::len).sum());
        self.aborting.cancel();
        self.filled.notify_one();
    }

    /// Drops what waits once the caller has left.
    pub(super) fn close(&self) {
        let dropped = std::mem::take(&mut *self.blocks());
        self.release(dropped.iter().map(BudgetedBuffer::len).sum());
    }

    /// Waits until the queue is aborted, or another one of its connection was.
    pub(super) async fn aborted(&self) {
        self.aborting.cancelled().await;
    }

    fn release(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.released.notify_one();
    }

    fn key(&self) -> usize {
        std::ptr::from_ref(self).addr()
    }

    fn blocks(&self) -> MutexGuard<'_, VecDeque<BudgetedBuffer>> {
        self.blocks.lock().expect("no thread panics while holding the lock")
    }
}

impl Drop for CallerQueue {
    fn drop(&mut self) {
        if *self.is_registered.get_mut() {
            self.queues.slow().remove(&self.key());
        }
    }
}

/// A block that is being written.
struct TakenBlock {
    data: Bytes,
    queue: Arc<CallerQueue>,
}

impl AsRef<[u8]> for TakenBlock {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for TakenBlock {
    fn drop(&mut self) {
        self.queue.release(self.data.len());
    }
}
