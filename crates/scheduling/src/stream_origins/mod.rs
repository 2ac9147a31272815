//! The origins of streams: which service and software version began each of them.
//!
//! While a release goes on, engines of several software versions serve side by side, and a stream may
//! go on only at the version that began it. Its caller takes it up again at any node, often since the
//! node of before was lost, and names the attempt that began it. The load pattern is thousands of short
//! streams a second, of which very few are ever taken up again, until many nodes fail together; then
//! half of all open streams are, within a second or two.
//!
//! So a stream costs little and a lookup may cost more: each node tells the origins of its streams to
//! a few owners, which all nodes derive from the identifier, and a lookup asks these. Nothing is told
//! while one version serves.
//!
//! Invariants:
//! - Only a node that relays a stream tells its origin, so one that is found is true.
//! - Whoever does not know says so; a node that has just started knows nothing.
//! - Different origins of one identifier are as bad as none: the stream is not known.
//! - What a node remembers and sends is bounded.

mod directory;
mod key;
mod lookups;
mod memory;
mod messages;
mod origin;
mod owners;
mod publisher;

pub use directory::OriginDirectory;
pub use key::StreamKey;
pub use lookups::Lookups;
pub use lookups::ResolvedOrigin;
pub use memory::OriginMemory;
pub use messages::BegunStreams;
pub use messages::OriginMessage;
pub use origin::OriginResolution;
pub use origin::OriginSource;
pub use origin::Recollection;
pub use origin::StreamOrigin;
pub use owners::OWNERS_PER_STREAM;
pub use owners::owners;
pub use publisher::Publisher;
