//! A store that counts the bytes written to it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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

/// A [`MemoryStore`] with a count of bytes written. Clones share both.
#[derive(Clone, Debug, Default)]
pub(super) struct CountingStore {
    pub(super) inner: MemoryStore,
    written_bytes: Arc<AtomicU64>,
}

impl CountingStore {
    /// Returns the bytes of all values in swaps so far.
    pub(super) fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }
}

impl Store for CountingStore {
    type Watch = MemoryWatch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.inner.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.written_bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
        // No watch reads the history, which would hold each version of each page.
        self.inner.compact();
        self.inner.swap(key, expected, value, lease).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<bool, StoreError> {
        self.inner.delete(key, expected).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<MemoryWatch, StoreError> {
        self.inner.watch(prefix, from).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.inner.renew_lease(lease).await
    }
}
