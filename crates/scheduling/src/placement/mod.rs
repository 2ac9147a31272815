//! Which engine a prompt goes to, and where its cached parts are.

mod affinity;
mod knowledge;
mod roles;
mod stored;

pub use affinity::AffinityKey;
pub use affinity::Scope;
pub use affinity::rendezvous_score;
pub use knowledge::PartKnowledge;
pub use knowledge::PrefixTag;
pub use knowledge::Whereabouts;
pub use roles::ArrivalRates;
pub use roles::LONG_COST_MS;
pub use roles::Roles;
pub use roles::SHORT_COST_MS;
pub use roles::is_long;
pub use stored::StoredNews;
pub use stored::StoredParts;
pub use stored::StoredTag;
