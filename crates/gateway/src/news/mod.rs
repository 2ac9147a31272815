//! What the platform's store holds, as far as the node has heard.
//!
//! One watch covers all items. While the store does not answer, the node asks its peers instead.
//! Invariant: the items never go back to an older revision, whichever way they came.

mod board;
mod task;

pub use board::Board;
pub use board::BoardEntry;
pub use board::BoardUpdate;
pub use task::News;
pub use task::NewsOptions;
pub use task::NewsReader;
