//! Integer entity identifiers and the dense maps keyed by them.
//!
//! Names from the operator's files are interned once for each process. An identifier is never
//! reused while the process lives, so work that began under an older configuration can still
//! report what became of it under a newer one.

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
