//! Following the store of cached prompt parts, so that every node knows what it holds.

mod task;

pub use task::CacheWatch;
