//! Versioned items that are gossiped through the fleet.

mod item;
mod payload;
mod quantise;
mod store;

pub use item::Item;
pub use item::ItemKind;
pub use item::Version;
pub use payload::EngineLevels;
pub use payload::EngineStart;
pub use payload::EngineWatch;
pub use payload::HeavyHitter;
pub use payload::HeavyHitters;
pub use payload::HotPrefix;
pub use payload::HotPrefixes;
pub use payload::InForce;
pub use payload::LeavingUpstreams;
pub use payload::Payload;
pub use payload::PayloadError;
pub use payload::WatchList;
pub use quantise::EngineLevel;
pub use store::Digest;
