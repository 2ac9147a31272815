//! A store whose writes are applied even if the caller stops waiting.

use std::time::Duration;

use bytes::Bytes;

use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::MemoryWatch;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// A [`MemoryStore`] that behaves as if over a network: a write that was sent continues without its
/// caller.
#[derive(Clone, Debug)]
pub struct DetachedStore(pub MemoryStore);

async fn detached<T: Send + 'static>(
    call: impl Future<Output = Result<T, StoreError>> + Send + 'static,
) -> Result<T, StoreError> {
    tokio::spawn(call).await.expect("store calls do not panic")
}

impl Store for DetachedStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.0.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.0.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let (store, key) = (self.0.clone(), key.to_owned());
        detached(async move { store.swap(&key, expected, value, lease).await }).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<bool, StoreError> {
        let (store, key) = (self.0.clone(), key.to_owned());
        detached(async move { store.delete(&key, expected).await }).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<MemoryWatch, StoreError> {
        self.0.watch(prefix, from).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.0.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.0.renew_lease(lease).await
    }
}
