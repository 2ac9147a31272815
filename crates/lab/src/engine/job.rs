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
    /// The tokens at the start of the prompt that can be imported instead of computed.
    pub importable_tokens: u32,
}

/// A job that has a slot.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub job: Job,
    pub cached_tokens: u32,
    pub to_import_tokens: u32,
    pub to_compute_tokens: u32,
    pub generated_tokens: u32,
    pub step: Step,
}

/// What the present step does for a job's prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Step {
    pub imported_tokens: u32,
    pub computed_tokens: u32,
}

impl Running {
    pub(super) fn is_prefilled(&self) -> bool {
        self.missing_tokens() == 0
    }

    pub(super) fn missing_tokens(&self) -> u32 {
        self.to_import_tokens + self.to_compute_tokens
    }

    pub(super) fn is_finished(&self) -> bool {
        self.is_prefilled() && self.generated_tokens >= self.job.generate_tokens
    }
}
