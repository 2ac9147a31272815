//! A store that reports the steps of an order to the test driver.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;

use crate::test_driver::Fault;
use crate::test_driver::Step;
use crate::test_driver::TestDriver;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::MemoryWatch;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// How long a paused node is blocked.
pub const NODE_PAUSE: Duration = Duration::from_millis(300);

/// A [`MemoryStore`] whose calls are reported to the test driver.
#[derive(Clone, Debug)]
pub struct HookedStore {
    pub inner: MemoryStore,
    pub test_driver: TestDriver,
    /// Whether the upstream has responded to the order.
    pub responded: Arc<AtomicBool>,
    /// Whether the response of the next swap is lost, so that the order has to settle it.
    pub lose_first_response: Arc<AtomicBool>,
    /// Whether the response of a swap was lost.
    pub response_lost: Arc<AtomicBool>,
}

impl HookedStore {
    pub fn new(inner: MemoryStore, test_driver: TestDriver) -> Self {
        let (responded, lose_first_response, response_lost) =
            (Arc::default(), Arc::default(), Arc::default());
        Self { inner, test_driver, responded, lose_first_response, response_lost }
    }

    /// Reports the lookup step, and the settle step after a lost response.
    async fn before_call(&self) {
        self.step_reached(Step::Lookup).await;
        if self.response_lost.load(Ordering::SeqCst) {
            self.step_reached(Step::Settle).await;
        }
    }

    async fn step_reached(&self, step: Step) {
        match self.test_driver.step_reached(step) {
            // The node's runtime has one thread, so this blocks the whole node.
            Some(Fault::NodePause) => std::thread::sleep(NODE_PAUSE),
            Some(Fault::NodeCrash | Fault::NodeRestart) => std::future::pending().await,
            _ => {}
        }
    }
}

impl Store for HookedStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.before_call().await;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.before_call().await;
        self.inner.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.before_call().await;
        let responded = self.responded.load(Ordering::SeqCst);
        self.step_reached(if responded { Step::FinishRecord } else { Step::Record }).await;
        let swapped = self.inner.swap(key, expected, value, lease).await;
        if self.lose_first_response.swap(false, Ordering::SeqCst) {
            self.response_lost.store(true, Ordering::SeqCst);
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
        self.before_call().await;
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.inner.renew_lease(lease).await
    }
}
