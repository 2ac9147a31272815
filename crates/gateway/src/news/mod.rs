//! What the platform's store holds, as far as the node has heard.
//!
//! One watch covers all items. In a large fleet a few nodes of each failure domain watch the store
//! and the others hear of them; while the store does not answer, a node asks its peers.
//! Invariant: the items never go back to an older revision, whichever way they came.

mod board;
mod source;
mod task;

pub use board::Board;
pub use board::BoardEntry;
pub use board::BoardUpdate;
pub use source::Source;
pub use source::Sources;
pub use task::News;
pub use task::NewsOptions;
pub use task::NewsReader;
