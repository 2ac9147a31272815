//! A store with faults of one node, and the steps at which faults are injected.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use redwingrill_config::CHUNK_PREFIX;
use redwingrill_config::MANIFEST_KEY;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::MemoryWatch;
use redwingrill_ports::Change;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;
use redwingrill_ports::Watch;

/// The steps of applying and distributing a configuration.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    Validate,
    ChunkPut,
    ManifestSwap,
    Watch,
    Fetch,
    Adopt,
    Announce,
}

pub const STEPS: &[Step] = &[
    Step::Validate,
    Step::ChunkPut,
    Step::ManifestSwap,
    Step::Watch,
    Step::Fetch,
    Step::Adopt,
    Step::Announce,
];

/// Notifies the driver when a step with an armed fault is reached, and waits until the fault is
/// injected.
#[derive(Clone, Debug)]
pub struct FaultTrigger {
    armed: Arc<Mutex<Vec<(Step, usize)>>>,
    reached: mpsc::UnboundedSender<(usize, oneshot::Sender<()>)>,
}

impl FaultTrigger {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<(usize, oneshot::Sender<()>)>) {
        let (reached, reached_steps) = mpsc::unbounded_channel();
        (Self { armed: Arc::default(), reached }, reached_steps)
    }

    pub fn arm(&self, step: Step, fault: usize) {
        self.armed.lock().expect("no thread panics while holding the lock").push((step, fault));
    }

    pub async fn reach(&self, step: Step) {
        for fault in self.disarm(step) {
            let (done, wait) = oneshot::channel();
            // Sending fails only after the driver was dropped at the end of a schedule.
            let _ = self.reached.send((fault, done));
            let _ = wait.await;
        }
    }

    fn disarm(&self, step: Step) -> Vec<usize> {
        let mut armed = self.armed.lock().expect("no thread panics while holding the lock");
        let due = armed.iter().filter(|(s, _)| *s == step).map(|(_, fault)| *fault).collect();
        armed.retain(|(s, _)| *s != step);
        due
    }
}

/// The faults of one node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct NodeFaults {
    pub partitioned: bool,
    pub stale: bool,
    pub paused: bool,
}

/// A node's view of the store.
#[derive(Clone, Debug)]
pub struct NodeStore {
    pub inner: MemoryStore,
    pub trigger: FaultTrigger,
    pub faults: Arc<watch::Sender<NodeFaults>>,
    pub calls: Arc<Mutex<u64>>,
    responses: Arc<Mutex<(u64, Option<Entry>)>>,
}

impl NodeStore {
    pub fn new(inner: MemoryStore, trigger: FaultTrigger) -> Self {
        let faults = Arc::new(watch::Sender::new(NodeFaults::default()));
        Self { inner, trigger, faults, calls: Arc::default(), responses: Arc::default() }
    }

    async fn begin_call(&self) {
        *self.calls.lock().expect("no thread panics while holding the lock") += 1;
        self.wait_until_connected().await;
    }

    async fn wait_until_connected(&self) {
        let mut faults = self.faults.subscribe();
        faults
            .wait_for(|faults| !faults.partitioned)
            .await
            .expect("the sender is owned by this store");
    }

    /// Returns the previous response in place of every second one while `stale` is set.
    fn reorder_responses(&self, entry: Option<Entry>) -> Option<Entry> {
        let mut responses = self.responses.lock().expect("no thread panics while holding the lock");
        responses.0 += 1;
        let previous = std::mem::replace(&mut responses.1, entry.clone());
        let return_previous = self.faults.borrow().stale && responses.0.is_multiple_of(2);
        if return_previous { previous } else { entry }
    }
}

impl Store for NodeStore {
    type Watch = NodeWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        if key.starts_with(CHUNK_PREFIX) {
            self.trigger.reach(Step::Fetch).await;
        }
        self.begin_call().await;
        let entry = self.inner.get(key).await?;
        Ok(if key == MANIFEST_KEY { self.reorder_responses(entry) } else { entry })
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.begin_call().await;
        self.inner.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let step = if key == MANIFEST_KEY { Step::ManifestSwap } else { Step::ChunkPut };
        self.trigger.reach(step).await;
        self.begin_call().await;
        // A request that was sent takes effect even if its sender drops the call.
        let (inner, key) = (self.inner.clone(), key.to_owned());
        let sent = tokio::spawn(async move { inner.swap(&key, expected, value, lease).await });
        sent.await.expect("the call does not panic")
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<bool, StoreError> {
        self.begin_call().await;
        self.inner.delete(key, expected).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<NodeWatch, StoreError> {
        self.begin_call().await;
        let inner = self.inner.watch(prefix, from).await?;
        Ok(NodeWatch { inner, store: self.clone() })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.inner.renew_lease(lease).await
    }
}

pub struct NodeWatch {
    inner: MemoryWatch,
    store: NodeStore,
}

impl Watch for NodeWatch {
    async fn next(&mut self) -> Result<Change, StoreError> {
        let change = self.inner.next().await?;
        self.store.trigger.reach(Step::Watch).await;
        self.store.wait_until_connected().await;
        Ok(change)
    }
}

/// A task that makes no progress while its node is paused.
pub struct Pausable<F> {
    inner: Pin<Box<F>>,
    resumed: Pin<Box<dyn Future<Output = ()> + Send>>,
    faults: watch::Receiver<NodeFaults>,
}

impl<F: Future<Output = ()>> Pausable<F> {
    pub fn new(inner: F, faults: watch::Receiver<NodeFaults>) -> Self {
        Self { inner: Box::pin(inner), resumed: Box::pin(std::future::pending()), faults }
    }
}

impl<F: Future<Output = ()>> Future for Pausable<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if !self.faults.borrow().paused {
            return self.inner.as_mut().poll(cx);
        }
        let mut faults = self.faults.clone();
        self.resumed = Box::pin(async move {
            let _ = faults.wait_for(|faults| !faults.paused).await;
        });
        // Ready only if the node was resumed since the check above; the next poll then continues.
        if self.resumed.as_mut().poll(cx).is_ready() {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }
}
