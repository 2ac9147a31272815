//! Placement of prompts on engines.
//!
//! Engines cache the blocks of prompts for seconds, and computing a lost prefix again costs far more
//! than any lookup. This crate chooses, for each prompt, the engine on which it is cheapest to start.
//!
//! - [`blocks`] names the prefixes of a prompt: a chain of block hashes, and the nested levels at
//!   which prompts are likely to part.
//! - [`fleet`] holds the engines that may be chosen and what they reported of their load.
//! - [`candidates`] orders the engines for a prompt, the same at every node without messages.
//! - [`cache_index`] remembers for seconds which prefixes an engine holds.
//! - [`placer`] joins these: it weighs tokens to compute against the wait and chooses.
//!
//! Everything here is free of I/O: time, randomness and reports are passed in.

pub mod blocks;
pub mod cache_index;
pub mod candidates;
pub mod fleet;
pub mod placer;

mod identity_hasher;
