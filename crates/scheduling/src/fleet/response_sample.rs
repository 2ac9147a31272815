//! The first event of a response, as one node reports it to another.

use serde::Deserialize;
use serde::Serialize;

use super::UpstreamTag;
use crate::engine_model::FirstEventSample;
use crate::engine_model::PromptWork;

/// The first event of a response of an engine.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct ResponseSample {
    /// The engine.
    pub engine: UpstreamTag,
    /// Tokens that the engine had to prefill.
    pub unread_tokens: u64,
    /// All tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the engine fetched.
    pub fetched_tokens: u64,
    /// Tokens of other prompts that the engine had to prefill before.
    pub queued_tokens: u64,
    /// The time to the first event, in milliseconds.
    pub observed_ms: f32,
    /// The slowdown by other work on its machine that the engine reported with the response.
    pub slowdown: f32,
}

impl From<&ResponseSample> for FirstEventSample {
    fn from(sample: &ResponseSample) -> Self {
        Self {
            work: PromptWork {
                unread_tokens: sample.unread_tokens,
                prompt_tokens: sample.prompt_tokens,
            },
            fetched_tokens: sample.fetched_tokens,
            queued_tokens: sample.queued_tokens,
            observed_ms: f64::from(sample.observed_ms),
        }
    }
}
