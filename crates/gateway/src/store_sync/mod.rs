//! What the platform's store holds, as far as the node has heard.
//!
//! One watch covers all items. In a large fleet a few nodes of each failure domain watch the store
//! and the others hear of them; while the store does not answer, a node asks its peers.
//! Invariant: the items never go back to an older revision, whichever way they came.

mod mirror;
mod source;
mod task;

pub use mirror::MirrorEntry;
pub use mirror::MirrorUpdate;
pub use mirror::StoreMirror;
pub use source::Source;
pub use source::SourceSelector;
pub use task::StoreReader;
pub use task::StoreSync;
pub use task::StoreSyncOptions;
