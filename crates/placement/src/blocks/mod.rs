//! Names of prompt prefixes.
//!
//! A prompt is cut into blocks of [`BLOCK_TOKENS`] tokens. The hash of a block covers the block and
//! all before it, back to a [`ChainRoot`] that binds the client account, the model and the weights
//! version. Two prompts share a block hash only if they share everything up to that block, so an
//! entry of another account or of other weights has another name and is never counted on.
//!
//! Invariants: hashes depend on the text alone, not on how it was handed over in pieces; levels are
//! strictly ascending in their number of blocks, at most [`MAX_LEVELS`], and never longer than the
//! prompt's whole blocks.

mod chain;
mod levels;
mod prompt;
mod summary;

pub use chain::BlockHash;
pub use chain::ChainRoot;
pub use levels::Level;
pub use levels::MAX_LEVELS;
pub use prompt::BLOCK_BYTES;
pub use prompt::BLOCK_TOKENS;
pub use prompt::PromptBlocks;
pub use prompt::TOKEN_BYTES;
pub use summary::PromptSummary;
