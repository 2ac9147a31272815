//! The description of a request that is submitted for admission.

use std::sync::Arc;

use redwingrill_config::Snapshot;
use redwingrill_entity::AccountId;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_placement::blocks::BLOCK_BYTES;
use redwingrill_placement::blocks::ChainRoot;
use redwingrill_placement::blocks::PromptBlocks;
use redwingrill_placement::blocks::PromptSummary;
use redwingrill_placement::blocks::TOKEN_BYTES;
use redwingrill_placement::fleet::WeightsTag;

/// One message of a prompt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PromptMessage<'a> {
    /// The role of the author.
    pub role: &'a str,
    /// The text parts, in order.
    pub texts: Vec<&'a str>,
}

/// A request that is submitted for admission.
#[derive(Clone, Debug)]
pub struct ScheduleRequest<'a> {
    /// The configuration in force when the request arrived.
    pub snapshot: &'a Arc<Snapshot>,
    /// The client account.
    pub account: AccountId,
    /// The priority.
    pub priority: PriorityId,
    /// The model.
    pub model: ModelId,
    /// The messages of the prompt, in order.
    pub prompt: &'a [PromptMessage<'a>],
    /// The limit of generated tokens, or its default.
    pub max_tokens: u64,
}

/// A request that is described but not sent.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest<'a> {
    /// The configuration in force.
    pub snapshot: &'a Arc<Snapshot>,
    /// The client account.
    pub account: AccountId,
    /// The priority.
    pub priority: PriorityId,
    /// The model.
    pub model: ModelId,
    /// The length of the prompt, which no engine has cached.
    pub prompt_tokens: u32,
    /// The limit of generated tokens.
    pub max_tokens: u64,
}

/// An owned [`ScheduleRequest`] with the hashed prompt, as sent to the dispatch task.
#[derive(Clone, Debug)]
pub(super) struct OwnedScheduleRequest {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) account: AccountId,
    pub(super) priority: PriorityId,
    pub(super) model: ModelId,
    pub(super) weights: WeightsTag,
    pub(super) prompt: PromptSummary,
    pub(super) max_tokens: u64,
}

impl OwnedScheduleRequest {
    /// Describes a request whose prompt has no block in common with any other.
    pub(super) fn planned(request: &PlannedRequest<'_>) -> Self {
        // Prompts in JSON hold no NUL unescaped, so no other prompt has these blocks. The line ends
        // of the message count as one token.
        let filler = "\0".repeat(BLOCK_BYTES);
        let bytes = request.prompt_tokens.saturating_sub(1) as usize * TOKEN_BYTES;
        let mut texts = vec![filler.as_str(); bytes / BLOCK_BYTES];
        texts.push(&filler[..bytes % BLOCK_BYTES]);
        let prompt = [PromptMessage { role: "", texts }];
        let request = ScheduleRequest {
            snapshot: request.snapshot,
            account: request.account,
            priority: request.priority,
            model: request.model,
            prompt: &prompt,
            max_tokens: request.max_tokens,
        };
        Self::new(&request, &mut PromptBlocks::default())
    }

    /// Hashes the prompt of a request; `blocks` is reused memory.
    pub(super) fn new(request: &ScheduleRequest<'_>, blocks: &mut PromptBlocks) -> Self {
        let state = &request.snapshot.state;
        let salt = state.accounts.get(request.account).map_or("", |account| &account.name);
        let model = state.models.get(request.model);
        let model_name = model.map_or("", |model| &model.name);
        let weights_version = model.map_or("", |model| &model.weights_version);
        blocks.begin(ChainRoot::new(salt, model_name, weights_version));
        for message in request.prompt {
            blocks.push_pieces(message.role, message.texts.iter().copied());
        }
        blocks.finish();
        Self {
            snapshot: request.snapshot.clone(),
            account: request.account,
            priority: request.priority,
            model: request.model,
            weights: WeightsTag::of(weights_version),
            prompt: PromptSummary::from_blocks(blocks),
            max_tokens: request.max_tokens,
        }
    }
}
