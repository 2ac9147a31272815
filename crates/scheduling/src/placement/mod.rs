//! Which engine a prompt goes to, and where its cached parts are.

mod affinity;
mod knowledge;

pub use affinity::AffinityKey;
pub use affinity::Scope;
pub use affinity::rendezvous_score;
pub use knowledge::PartKnowledge;
