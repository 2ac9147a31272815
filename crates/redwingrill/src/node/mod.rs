//! A node: owns all components from startup to the end of a graceful shutdown.
//!
//! ```text
//! Node<Starting> --serve--> Node<Serving> --drain--> Node<Draining> --finish--> ended
//! ```
//!
//! When draining starts, the node reports that it is not ready but still accepts connections, so
//! that the load balancer can remove it. It then stops accepting and waits for open requests. All
//! spawned tasks are joined before [`Node::finish`] returns.

mod components;
mod control;
mod explain;
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
