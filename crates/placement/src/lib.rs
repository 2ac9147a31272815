//! Placement of prompts on engines.
//!
//! Engines cache the blocks of prompts for seconds, and computing a lost prefix again costs far more
//! than any lookup. This crate chooses, for each prompt, the engine on which it is cheapest to start.
//!
//! - [`blocks`] names the prefixes of a prompt: a chain of block hashes, and the nested levels at
//!   which prompts are likely to part.

pub mod blocks;
