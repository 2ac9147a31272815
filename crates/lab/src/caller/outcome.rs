//! What became of a call.

use redwingrill_codes::Ran;

/// How a call ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ending {
    /// The whole answer came, in order, and it is the caller's own.
    Complete,
    /// The call was refused, and the reply says that it did not run.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The number of the result code, if there is one.
        result_code: Option<u16>,
    },
    /// An explicit error ended the call after it may have run.
    Error {
        /// What the error says.
        reason: String,
    },
    /// The answer is cut, out of order, or that of another call.
    Wrong {
        /// What is wrong.
        reason: String,
    },
    /// The call had not ended when its caller stopped to wait.
    Unfinished,
}

/// A call as its caller saw it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// The time to the first token.
    pub first_token_us: Option<u64>,
    /// The time to the end.
    pub total_us: u64,
    /// The longest time between two tokens.
    pub longest_gap_us: u64,
    /// The tokens received.
    pub tokens: u32,
    /// The tokens of the prompt, as counted by the engine.
    pub prompt_tokens: u64,
    /// The prompt tokens that came from a cache.
    pub cached_tokens: u64,
}

impl Outcome {
    /// Makes the outcome of a call that has not begun.
    pub fn unfinished() -> Self {
        Self {
            ending: Ending::Unfinished,
            first_token_us: None,
            total_us: 0,
            longest_gap_us: 0,
            tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Returns whether the whole answer came.
    pub fn is_complete(&self) -> bool {
        self.ending == Ending::Complete
    }
}

/// The part of an error body that decides how a call is counted.
#[derive(Clone, PartialEq, Eq, Debug, serde::Deserialize)]
pub(super) struct ErrorText {
    pub error: ErrorFields,
}

#[derive(Clone, PartialEq, Eq, Debug, serde::Deserialize)]
pub(super) struct ErrorFields {
    #[serde(default)]
    pub message: String,
    pub result_code: Option<u16>,
    pub ran: Option<Ran>,
}

impl ErrorText {
    /// Returns how a call ended that got this error with this status.
    pub(super) fn ending(self, status: u16) -> Ending {
        match self.error.ran {
            Some(Ran::No) => Ending::Refused { status, result_code: self.error.result_code },
            _ => Ending::Error { reason: format!("{status}: {}", self.error.message) },
        }
    }
}
