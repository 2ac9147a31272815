//! Follows the events of the KV cache store, so that the scheduler knows which prefixes it holds.

mod task;

pub use task::CacheWatch;
