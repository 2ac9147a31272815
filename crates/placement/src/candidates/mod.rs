//! The order in which engines come into question for a prompt.
//!
//! Rendezvous hashing gives every node the same order for a prefix with no messages and nothing to
//! warm up. The sets are nested: engines for the book, within them those for the customer, and so
//! on. A set is as wide as its prefix's share of the model's work, so a hot prefix is held by more
//! engines, and a wider set holds every narrower one.
//!
//! Invariants: widths never grow from one level to the next; the engines of a level are the first
//! of the order; the first sixteen are in the order of their scores for the longest prefix; the widest set is spread over failure domains as evenly as they allow.

mod order;
mod popularity;
mod rendezvous;

pub use order::CandidateOrder;
pub(crate) use order::RANKED_ENGINES;
pub use popularity::PrefixPopularity;
pub use rendezvous::score;
