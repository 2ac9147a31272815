//! Membership and state exchange of this node with its peers.
//!
//! One task owns the [`redwingrill_membership::Cluster`] state machine. It receives
//! peer calls, responses, engine loads and instance lists as messages. The QUIC endpoint and
//! short-lived tasks perform the network calls. The task reports engine loads, leaving upstreams
//! and the demand at other nodes to the dispatch task, and [`PeerChunks`] provides the
//! configuration follower with a [`redwingrill_config::ChunkSource`].
//!
//! ```text
//!  bind ──► bound ──► run ──► running ──► cancelled: endpoint closed, tasks joined
//! ```
//!
//! A node without a `[tls]` section has no peers and polls all engines itself.

mod actions;
mod dispatch_updates;
mod handler;
mod key_index;
mod messages;
mod poll_schedule;
mod source;
mod start;
mod task;

pub use handler::PeerHandler;
pub use messages::ClusterHandle;
pub use source::PeerChunks;
pub use start::BindError;
pub use start::BoundCluster;
pub use start::ClusterInputs;
