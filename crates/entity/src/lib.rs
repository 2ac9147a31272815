//! Integer entity identifiers and the dense maps keyed by them.
//!
//! Names from the configuration files are interned once per process. An identifier is not reused
//! during the lifetime of the process, so work that started under an older configuration can still
//! report its outcome under a newer one.

mod entity_map;
mod ids;
mod interner;
mod names;

pub use entity_map::EntityMap;
pub use ids::AccountId;
pub use ids::DomainId;
pub use ids::EntityRef;
pub use ids::ModelId;
pub use ids::PriorityId;
pub use ids::ServiceId;
pub use ids::UpstreamId;
pub use interner::Interner;
pub use names::Names;
