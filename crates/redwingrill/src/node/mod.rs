//! One node: the parts joined, from start to the end of a graceful shutdown.
//!
//! ```text
//! Node<Starting> --serve--> Node<Serving> --drain--> Node<Draining> --finish--> ended
//! ```
//!
//! In `Draining` the node first says that it is not ready while it still accepts, so that the
//! balancer turns away from it; then it stops accepting, and open work ends. Every task that the
//! node has spawned is joined before [`Node::finish`] returns.

mod components;
mod control;
mod inspector;
mod lifecycle;
mod wiring;

pub use inspector::Inspector;
pub use lifecycle::DrainOutcome;
pub use lifecycle::Draining;
pub use lifecycle::Node;
pub use lifecycle::Phase;
pub use lifecycle::Serving;
pub use lifecycle::StartError;
pub use lifecycle::Starting;
