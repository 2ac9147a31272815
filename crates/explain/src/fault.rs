//! The error answer of a node.

use serde::Deserialize;
use serde::Serialize;

use redwingrill_codes::ResultCode;

/// Why a node cannot explain a request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ExplainFault {
    /// The number of the result code.
    pub result_code: u16,
    /// The cause, for people.
    pub message: String,
}

impl ExplainFault {
    /// Creates a fault.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { result_code: code.number(), message: message.into() }
    }

    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        ResultCode::from_number(self.result_code).unwrap_or(ResultCode::Internal)
    }

    /// Returns the fault as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a fault has only string keys")
    }
}
