//! One node: the parts joined, from start to the end of a graceful stop.
//!
//! ```text
//! Node<Starting> --serve--> Node<Serving> --drain--> Node<Draining> --finish--> ended
//! ```
//!
//! In `Draining` the node says that it is not ready while it still accepts, so that the balancer
//! turns away from it; then it closes idle connections, and open work ends. Every task that the
//! node has spawned is joined before [`Node::finish`] returns.

mod lifecycle;
mod membership;
mod options;

pub use lifecycle::Draining;
pub use lifecycle::Node;
pub use lifecycle::Serving;
pub use lifecycle::StartError;
pub use lifecycle::Starting;
pub use options::NodeOptions;
pub use options::NodePorts;
