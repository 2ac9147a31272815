//! Keeps a node up to date with the accepted configuration.
//!
//! The decisions ([`decide`]), the pacing and the repair of the store are separate from the task
//! that carries them out.

mod cache;
mod decision;
mod fetch;
mod follower;
mod pacing;
mod repair;
mod source;
mod status;
mod timers;
mod watcher;

pub use cache::ConfigCache;
pub use decision::Decision;
pub use decision::Origin;
pub use decision::decide;
pub use follower::Follower;
pub use follower::FollowerHandle;
pub use source::ChunkSource;
pub use source::NoPeers;
pub use status::FollowerStatus;
