//! Hashes of prompt prefixes.
//!
//! A prompt is split into blocks of [`BLOCK_TOKENS`] tokens. The hash of a block covers the block
//! and all blocks before it, starting from a [`ChainRoot`] derived from the client account, the
//! model and the weights version. Two prompts share a block hash only if they share everything up
//! to that block, so prefixes of another account or of other weights never match.
//!
//! Invariants: hashes depend on the text alone, not on how it is split into pieces; levels are
//! strictly ascending in their number of blocks, at most [`MAX_LEVELS`], and never longer than the
//! prompt's complete blocks.

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
