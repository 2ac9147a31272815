//! Requests, decisions and events of the placer.

use crate::blocks::BlockHash;
use crate::blocks::PromptSummary;
use crate::fleet::EngineStart;
use crate::fleet::WeightsTag;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;

/// The availability of engines for a request.
pub trait Availability {
    /// Returns how far an engine would be above its limit, as a share of the limit: zero below the
    /// limit, `None` if the engine may not receive the request.
    fn overload(&self, upstream: UpstreamId) -> Option<f64>;
}

/// A prompt to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The model.
    pub model: ModelId,
    /// The weights version for which the prompt's hashes were computed.
    pub weights: WeightsTag,
    /// The prompt.
    pub prompt: &'a PromptSummary,
    /// The maximum number of generated tokens.
    pub output_tokens: u64,
    /// Engines that must not be chosen, because they failed this request before.
    pub excluded: &'a [UpstreamId],
}

/// The engine chosen for a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Placement {
    /// The engine.
    pub upstream: UpstreamId,
    /// Prompt tokens that the engine is expected to have cached.
    pub expected_cached_tokens: u64,
    /// The length of the prefix that the cache index lists for the engine, in tokens; zero if none.
    pub known_tokens: u64,
    /// The age of that cache index entry.
    pub known_age_ms: u64,
    /// Tokens that the engine should import from a KV cache store; zero for none.
    pub import_tokens: u64,
    /// The time of the decision.
    pub sent_ms: u64,
}

/// The arrival of the first token of a request.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken<'a> {
    /// The model.
    pub model: ModelId,
    /// The placement decision.
    pub placement: &'a Placement,
    /// The prompt.
    pub prompt: &'a PromptSummary,
    /// The weights version for which the prompt's hashes were computed.
    pub weights: WeightsTag,
    /// The engine's start, if the response contained it.
    pub start: Option<EngineStart>,
    /// The time from sending to the first token.
    pub first_token_ms: f64,
}

/// The end of a request, whether it succeeded, failed or was cancelled.
#[derive(Clone, Copy, Debug)]
pub struct Finished<'a> {
    /// The model.
    pub model: ModelId,
    /// The placement decision.
    pub placement: &'a Placement,
    /// The prompt.
    pub prompt: &'a PromptSummary,
    /// The weights version for which the prompt's hashes were computed.
    pub weights: WeightsTag,
    /// The engine's start, if the response contained it.
    pub start: Option<EngineStart>,
    /// The time from sending to the first token, if one arrived.
    pub first_token_ms: Option<f64>,
    /// Prompt tokens that the engine had cached, if it reported them.
    pub cached_tokens: Option<u64>,
}

/// A change in an engine's cache.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CacheEvent {
    /// The engine cached the prefix.
    Stored(BlockHash),
    /// The engine evicted the last block of the prefix.
    Removed(BlockHash),
}
