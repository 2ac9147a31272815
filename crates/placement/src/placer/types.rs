//! What the placer is asked, answers, and is told.

use crate::blocks::BlockHash;
use crate::blocks::PromptSummary;
use crate::fleet::EngineStart;
use crate::fleet::WeightsTag;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;

/// Which engines may take a request now.
pub trait Availability {
    /// Returns how far an engine is above its limit, as a share of the limit: zero while it is
    /// below, `None` when it may take nothing.
    fn overload(&self, upstream: UpstreamId) -> Option<f64>;
}

/// A prompt to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The model.
    pub model: ModelId,
    /// The weights version that the prompt's hashes are bound to.
    pub weights: WeightsTag,
    /// The prompt.
    pub prompt: &'a PromptSummary,
    /// Tokens that may be generated.
    pub output_tokens: u64,
    /// Engines that failed this request before.
    pub excluded: &'a [UpstreamId],
}

/// The engine chosen for a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Placement {
    /// The engine.
    pub upstream: UpstreamId,
    /// Prompt tokens that it is expected to hold already.
    pub expected_cached_tokens: u64,
    /// The prefix that this node learned the engine holds, in tokens; zero if none.
    pub known_tokens: u64,
    /// The age of that knowledge.
    pub known_age_ms: u64,
    /// Tokens that the engine is to import from a KV cache store; zero for none.
    pub import_tokens: u64,
    /// When it was chosen.
    pub sent_ms: u64,
}

/// A request's first token arrived.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken<'a> {
    /// The model.
    pub model: ModelId,
    /// What was chosen.
    pub placement: &'a Placement,
    /// The prompt.
    pub prompt: &'a PromptSummary,
    /// The weights version that the prompt's hashes are bound to.
    pub weights: WeightsTag,
    /// The engine's start, if the reply named it.
    pub start: Option<EngineStart>,
    /// The time from sending to the first token.
    pub first_token_ms: f64,
}

/// A request ended, in whatever way.
#[derive(Clone, Copy, Debug)]
pub struct Finished<'a> {
    /// The model.
    pub model: ModelId,
    /// What was chosen.
    pub placement: &'a Placement,
    /// The prompt.
    pub prompt: &'a PromptSummary,
    /// The weights version that the prompt's hashes are bound to.
    pub weights: WeightsTag,
    /// The engine's start, if the reply named it.
    pub start: Option<EngineStart>,
    /// The time from sending to the first token, if one came.
    pub first_token_ms: Option<f64>,
    /// Prompt tokens that the engine had cached, if it said so.
    pub cached_tokens: Option<u64>,
}

/// A change of an engine's cache.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheEvent {
    /// The engine holds the prefix now.
    Stored(BlockHash),
    /// The engine evicted the last block of the prefix.
    Removed(BlockHash),
}
