//! Cluster membership and gossip between nodes.
//!
//! All state is soft: a node without it still serves requests, and data that must be durable or
//! agreed on goes through the platform's store instead. The crate does no I/O. Time (`now_ms`,
//! monotonic) and the random seed are passed in, and frames are sent by a driver that owns the
//! connections.
//!
//! - [`MemberTable`]: the members, as a join-semilattice of records.
//! - [`Digest`]: versioned items, one per origin and kind; an older item never replaces a newer
//!   one.
//! - [`Link`]: tracks which items one peer has, so that only missing items are sent.
//! - [`overlay`]: selects the few peers of each node, deterministically from the member table.
//! - [`Cluster`]: the state machine that combines these.

mod cluster;
mod digest;
mod keys;
mod link;
mod members;
pub mod overlay;
mod pacing;

pub use cluster::Action;
pub use cluster::Changes;
pub use cluster::Cluster;
pub use cluster::ClusterOptions;
pub use cluster::EngineLoad;
pub use cluster::Summary;
pub use cluster::Violation;
pub use digest::Digest;
pub use digest::EngineLevel;
pub use digest::EngineLevels;
pub use digest::EngineStart;
pub use digest::EngineWatch;
pub use digest::HeavyHitter;
pub use digest::HeavyHitters;
pub use digest::HotPrefix;
pub use digest::HotPrefixes;
pub use digest::InForce;
pub use digest::Item;
pub use digest::ItemKind;
pub use digest::LeavingUpstreams;
pub use digest::Payload;
pub use digest::PayloadError;
pub use digest::Version;
pub use digest::WatchList;
pub use keys::AccountKey;
pub use keys::NodeKey;
pub use keys::UpstreamKey;
pub use link::DecodedFrame;
pub use link::ExchangeResponse;
pub use link::Frame;
pub use link::Link;
pub use link::LinkError;
pub use link::LinkId;
pub use link::LocalState;
pub use members::MemberInfo;
pub use members::MemberRecord;
pub use members::MemberState;
pub use members::MemberTable;
pub use pacing::Pacing;
