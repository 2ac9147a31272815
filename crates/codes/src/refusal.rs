//! The error with which a request ends.

use std::fmt;

use crate::Ran;
use crate::ResultCode;

/// The reason why a request ends with an error, as returned to the caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    /// A human-readable message; if empty, the summary of the code is used.
    pub detail: String,
    /// The delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without a message of its own.
    pub fn new(code: ResultCode) -> Self {
        Self { code, detail: String::new(), retry_after_ms: None }
    }

    /// Creates a refusal with a message.
    pub fn with_detail(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), retry_after_ms: None }
    }

    /// Sets the delay after which the caller may retry, in milliseconds.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns whether an upstream may have run the request.
    pub fn ran(&self) -> Ran {
        self.code.info().ran
    }
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self::new(code)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.code)?;
        f.write_str(if self.detail.is_empty() { self.code.info().summary } else { &self.detail })
    }
}
