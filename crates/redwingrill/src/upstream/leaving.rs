//! The upstreams that are leaving, as reported by the platform's instance list and by peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use redwingrill_entity::UpstreamId;

/// The set of leaving upstreams. Clones share it; a reader gets an immutable snapshot.
#[derive(Clone, Debug, Default)]
pub struct LeavingUpstreams {
    set: Arc<Mutex<Arc<BTreeSet<UpstreamId>>>>,
}

impl LeavingUpstreams {
    /// Replaces the set.
    pub fn set(&self, upstreams: impl IntoIterator<Item = UpstreamId>) {
        *self.set.lock().expect("no thread panics while holding the lock") =
            Arc::new(upstreams.into_iter().collect());
    }

    /// Returns a snapshot of the set.
    pub fn get(&self) -> Arc<BTreeSet<UpstreamId>> {
        self.set.lock().expect("no thread panics while holding the lock").clone()
    }
}
