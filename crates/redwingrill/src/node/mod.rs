//! One node: the parts joined, from start to the end of a graceful shutdown.
//!
//! ```text
//! Node<Starting> --serve--> Node<Serving> --drain--> Node<Draining> --finish--> ended
//! ```
//!
//! In `Draining` the node first says that it is not ready while it still accepts, so that the
//! balancer turns away from it; then it stops accepting, and open work ends. Every task that the
//! node has spawned is joined before [`Node::finish`] returns.

mod control;
mod inspector;
mod life;
mod parts;
mod wiring;

pub use inspector::Inspector;
pub use life::Draining;
pub use life::Ending;
pub use life::Node;
pub use life::Phase;
pub use life::Serving;
pub use life::StartError;
pub use life::Starting;
