//! Keeps a mirror of the platform's store.
//!
//! One watch covers all items. In a large fleet a few nodes of each failure domain watch the store
//! and the others poll these watchers. While the store is unavailable, a node polls its peers.
//! Invariants:
//! - An item never goes back to an older revision, whatever the source of an update.
//! - Nor does it go back to what its writer said before, if the writer numbers what it writes.

mod continuity;
mod late_writes;
mod mirror;
mod source;
mod task;

pub use continuity::Continuity;
pub use mirror::MirrorEntry;
pub use mirror::MirrorUpdate;
pub use mirror::Removals;
pub use mirror::StoreMirror;
pub use source::Source;
pub use source::SourceSelector;
pub use task::StoreReader;
pub use task::StoreSync;
pub use task::StoreSyncOptions;
