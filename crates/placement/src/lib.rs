//! Placement of prompts on engines.
//!
//! Engines cache the blocks of prompts for seconds, and prefilling a lost prefix again costs far
//! more than any lookup. For each prompt, this crate chooses the engine with the lowest start cost.
//!
//! - [`blocks`] identifies the prefixes of a prompt: a chain of block hashes, and the nested levels
//!   at which prompts are likely to diverge.
//! - [`fleet`] holds the available engines and their reported load.
//! - [`candidates`] orders the engines for a prompt, identically at every node and without
//!   messages.
//! - [`cache_index`] records, for seconds, which prefixes an engine has cached.
//! - [`placer`] combines these: it weighs the tokens to prefill against the wait and selects an
//!   engine.
//!
//! This crate performs no I/O: time, randomness and reports are passed in.

pub mod blocks;
pub mod cache_index;
pub mod candidates;
pub mod fleet;
pub mod placer;

mod identity_hasher;
