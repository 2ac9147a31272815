//! A store with a concurrent apply by another operator.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;

use redwingrill_config::ApplyId;
use redwingrill_config::ApplyRequest;
use redwingrill_config::Generation;
use redwingrill_config::MANIFEST_KEY;
use redwingrill_config::apply;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::MemoryWatch;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

/// Applies `concurrent_text` just before the next swap of the manifest.
#[derive(Clone, Debug, Default)]
pub struct RacingStore {
    pub inner: MemoryStore,
    pub concurrent_text: Arc<Mutex<Option<String>>>,
}

impl RacingStore {
    async fn apply_concurrently(&self) {
        const CONCURRENT_APPLY_ID: ApplyId = ApplyId(1);
        let Some(text) =
            self.concurrent_text.lock().expect("no thread panics while holding the lock").take()
        else {
            return;
        };
        let mut names = Names::default();
        let state = parse_str("concurrent.ini", &text, &mut names)
            .expect("concurrent configuration is valid");
        let request = ApplyRequest {
            state: &state,
            names: &names,
            apply_id: CONCURRENT_APPLY_ID,
            expected: None,
            in_force: Generation(0),
        };
        apply(&self.inner, request).await.expect("concurrent apply succeeds");
    }
}

impl Store for RacingStore {
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
        if key == MANIFEST_KEY {
            self.apply_concurrently().await;
        }
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
