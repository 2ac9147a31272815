//! Prompts that a caller declares as a list of parts.

/// The identifier of a prompt part. Equal identifiers mean equal tokens.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct PartId(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// The identifier.
    pub id: PartId,
    /// The length in tokens.
    pub tokens: u32,
}

/// A prompt as the caller declares it: its parts in order, the last one private to the request.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DeclaredPrompt {
    /// The requested model.
    pub model: String,
    /// The length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of generated tokens.
    pub output_tokens_limit: u32,
    /// The parts.
    pub parts: Vec<PromptPart>,
}

impl DeclaredPrompt {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }
}
