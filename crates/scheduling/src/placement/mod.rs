//! Placement of prompts on engines, and the location of cached parts.

mod affinity;
mod cache_index;
mod cache_store;
mod roles;

pub use affinity::AffinityKey;
pub use affinity::Scope;
pub use affinity::WeightedScore;
pub use affinity::rendezvous_score;
pub use cache_index::CacheIndex;
pub use cache_index::CacheLocation;
pub use cache_index::PrefixTag;
pub use cache_store::CacheStoreDigest;
pub use cache_store::CacheStoreIndex;
pub use cache_store::PartTag;
pub use roles::ArrivalRates;
pub use roles::EngineRoles;
pub use roles::PromptCosts;
pub use roles::RoleEngine;
