//! The order in which engines are considered for a prompt.
//!
//! Rendezvous hashing gives every node the same order for a prefix, without messages and without a
//! warm-up. Each prefix level has a set of candidate engines, and the sets are nested: the set of a
//! longer prefix is a subset of that of a shorter one. The width of a set is proportional to its
//! prefix's share of the model's work, so more engines cache a hot prefix.
//!
//! Invariants: widths never grow from one level to the next; the engines of a level are the first
//! ones of the order; the first sixteen are sorted by their scores for the longest prefix; the
//! widest set is spread over failure domains as evenly as possible.

mod order;
mod popularity;
mod rendezvous;

pub use order::CandidateOrder;
pub(crate) use order::RANKED_ENGINES;
pub use popularity::PrefixPopularity;
pub use rendezvous::score;
