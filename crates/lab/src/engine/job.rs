//! A request as the batch sees it.

use crate::engine::BlockHash;

/// The number of a request in one incarnation, in the order of arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// A request to compute.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Job {
    /// The number.
    pub id: JobId,
    /// Lower is more urgent.
    pub priority: i32,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
    /// The tokens to generate.
    pub generate_tokens: u32,
    /// Whether what is not cached is imported instead of computed.
    pub is_imported: bool,
}

/// A job that has a slot.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub job: Job,
    pub cached_tokens: u32,
    pub missing_tokens: u32,
    pub generated_tokens: u32,
    pub step_tokens: u32,
}

impl Running {
    pub(super) fn is_prefilled(&self) -> bool {
        self.missing_tokens == 0
    }

    pub(super) fn is_finished(&self) -> bool {
        self.is_prefilled() && self.generated_tokens >= self.job.generate_tokens
    }
}
