//! An index of the prefixes that engines have cached, as known to this node.
//!
//! The `cached_tokens` of a response and the cache events of an engine show which prefixes the
//! engine has cached. Engines evict within seconds, so each entry expires. The time to live follows
//! how long entries turn out to be valid.
//!
//! Invariants: an entry is valid only for the incarnation of the engine that it was recorded for;
//! the prefix hash depends on account, model and weights; the table is bounded.

mod event_limiter;
mod prefixes;
mod time_to_live;

pub use event_limiter::EventLimiter;
pub(crate) use prefixes::CacheLocation;
pub use prefixes::CachedPrefixes;
pub use time_to_live::TimeToLive;
