//! A request that asks to be admitted.

use std::sync::Arc;

use redwingrill_config::Snapshot;
use redwingrill_entity::AccountId;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_placement::blocks::ChainRoot;
use redwingrill_placement::blocks::PromptBlocks;
use redwingrill_placement::blocks::PromptSummary;
use redwingrill_placement::fleet::WeightsTag;

/// One message of a prompt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PromptMessage<'a> {
    /// Who speaks.
    pub role: &'a str,
    /// The pieces of its text, in order.
    pub texts: Vec<&'a str>,
}

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The configuration the request was received under.
    pub snapshot: &'a Arc<Snapshot>,
    /// The client account.
    pub account: AccountId,
    /// The priority.
    pub priority: PriorityId,
    /// The model.
    pub model: ModelId,
    /// The messages, in order.
    pub prompt: &'a [PromptMessage<'a>],
    /// The most tokens to generate, as far as known.
    pub max_tokens: u64,
}

/// An [`Ask`] as it crosses to the task.
#[derive(Clone, Debug)]
pub(super) struct OwnedAsk {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) account: AccountId,
    pub(super) priority: PriorityId,
    pub(super) model: ModelId,
    pub(super) weights: WeightsTag,
    pub(super) prompt: PromptSummary,
    pub(super) max_tokens: u64,
}

impl OwnedAsk {
    /// Hashes the prompt of a request, in memory used before.
    pub(super) fn new(ask: &Ask<'_>, blocks: &mut PromptBlocks) -> Self {
        let state = &ask.snapshot.state;
        let salt = state.accounts.get(ask.account).map_or("", |account| &account.name);
        let model = state.models.get(ask.model);
        let model_name = model.map_or("", |model| &model.name);
        let weights_version = model.map_or("", |model| &model.weights_version);
        blocks.begin(ChainRoot::new(salt, model_name, weights_version));
        for message in ask.prompt {
            blocks.push_pieces(message.role, message.texts.iter().copied());
        }
        blocks.finish();
        Self {
            snapshot: ask.snapshot.clone(),
            account: ask.account,
            priority: ask.priority,
            model: ask.model,
            weights: WeightsTag::of(weights_version),
            prompt: PromptSummary::from_blocks(blocks),
            max_tokens: ask.max_tokens,
        }
    }
}
