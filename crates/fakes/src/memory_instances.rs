//! An in-memory instance list.

use std::sync::Arc;
use std::sync::Mutex;

use redwingrill_ports::Instance;
use redwingrill_ports::InstanceList;
use redwingrill_ports::StoreError;

/// An [`InstanceList`] whose content a test sets. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct MemoryInstances {
    list: Arc<Mutex<Vec<Instance>>>,
}

impl MemoryInstances {
    /// Replaces the list.
    pub fn set(&self, list: Vec<Instance>) {
        *self.list.lock().expect("lock is not poisoned") = list;
    }
}

impl InstanceList for MemoryInstances {
    async fn list(&self) -> Result<Vec<Instance>, StoreError> {
        Ok(self.list.lock().expect("lock is not poisoned").clone())
    }
}
