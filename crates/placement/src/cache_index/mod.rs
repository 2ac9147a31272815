//! What this node knows of cached prefixes.
//!
//! A reply's `cached_tokens` and an engine's cache events tell which prefixes an engine holds.
//! Engines evict within seconds, so each entry expires, and the time to live follows how long
//! entries turn out to stay true.
//!
//! Invariants: an entry counts only for the incarnation it was learned from; the prefix hash binds
//! account, model and weights; the table is bounded.

mod event_limiter;
mod prefixes;
mod time_to_live;

pub use event_limiter::EventLimiter;
pub(crate) use prefixes::CacheLocation;
pub use prefixes::CachedPrefixes;
pub use time_to_live::TimeToLive;
