//! This node among the others.
//!
//! One task owns the [`redwingrill_membership::Cluster`] state machine. Calls of peers, answers,
//! loads and lists reach it by messages; around it stand the QUIC endpoint and short tasks that
//! carry out single calls. It feeds the dispatch task (loads, leaving upstreams, demand elsewhere)
//! and serves the follower of the configuration as its [`redwingrill_config::ChunkSource`].
//!
//! ```text
//!  bind ──► bound ──► run ──► running ──► cancelled: endpoint closed, tasks joined
//! ```
//!
//! A node without a `[tls]` section has no peers and asks all engines itself.

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
