//! A request that ends with an error.

use std::fmt;

use crate::Ran;
use crate::ResultCode;

/// Why a request ends with an error, and what the caller is told.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    /// What happened, for people; empty for the summary of the code.
    pub detail: String,
    /// When the caller may try again.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Makes a refusal that says no more than its code.
    pub fn new(code: ResultCode) -> Self {
        Self { code, detail: String::new(), retry_after_ms: None }
    }

    /// Makes a refusal with a message.
    pub fn with_detail(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), retry_after_ms: None }
    }

    /// Adds when the caller may try again.
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
