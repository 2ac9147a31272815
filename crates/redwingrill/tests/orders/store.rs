//! A store that tells the conductor which step an order has reached.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;

use crate::conductor::Conductor;
use crate::conductor::Fault;
use crate::conductor::Step;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::MemoryWatch;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// How long a paused node stands still.
pub const PAUSE: Duration = Duration::from_millis(300);

/// A [`MemoryStore`] as one node reaches it.
#[derive(Clone, Debug)]
pub struct HookedStore {
    pub inner: MemoryStore,
    pub conductor: Conductor,
    /// Whether the upstream has answered the order.
    pub answered: Arc<AtomicBool>,
    /// Whether the next swap loses its answer, so that the order has something to settle.
    pub lose_first: Arc<AtomicBool>,
    /// Whether a swap has lost its answer.
    pub lost: Arc<AtomicBool>,
}

impl HookedStore {
    pub fn new(inner: MemoryStore, conductor: Conductor) -> Self {
        let (answered, lose_first, lost) = (Arc::default(), Arc::default(), Arc::default());
        Self { inner, conductor, answered, lose_first, lost }
    }

    /// Any call reads the record first; one after a lost answer settles what was lost.
    async fn reach_call(&self) {
        self.reach(Step::LookUp).await;
        if self.lost.load(Ordering::SeqCst) {
            self.reach(Step::Settle).await;
        }
    }

    async fn reach(&self, step: Step) {
        match self.conductor.reach(step) {
            // The node's runtime has one thread, so this stops all of it.
            Some(Fault::NodePause) => std::thread::sleep(PAUSE),
            Some(Fault::NodeCrash | Fault::NodeRestart) => std::future::pending().await,
            _ => {}
        }
    }
}

impl Store for HookedStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.reach_call().await;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.reach_call().await;
        self.inner.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.reach_call().await;
        let answered = self.answered.load(Ordering::SeqCst);
        self.reach(if answered { Step::FinishRecord } else { Step::Record }).await;
        let swapped = self.inner.swap(key, expected, value, lease).await;
        if self.lose_first.swap(false, Ordering::SeqCst) {
            self.lost.store(true, Ordering::SeqCst);
            return Err(StoreError::ResponseLost { reason: "once".to_owned() });
        }
        swapped
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<bool, StoreError> {
        self.inner.delete(key, expected).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<MemoryWatch, StoreError> {
        self.inner.watch(prefix, from).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.reach_call().await;
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.inner.renew_lease(lease).await
    }
}
