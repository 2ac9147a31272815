//! A node: assembles the parts and controls them from start to graceful stop.
//!
//! ```text
//! Node<Starting> --serve--> Node<Serving> --drain--> Node<Draining> --finish--> ended
//! ```
//!
//! [`Node::drain`] reports the node as not ready while it still accepts connections, so that the
//! load balancer takes it out, and then closes idle connections. [`Node::finish`] waits for open
//! requests and joins every task that the node has spawned.

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
