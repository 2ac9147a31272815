//! Numbered result codes shared by every program of the project.
//!
//! A code identifies one outcome wherever it appears: in an error body, a log line, a metric, or
//! the exit status of a command. The table in docs/OPERATING.md lists the same numbers.

mod code;
mod error_body;
mod refusal;

pub use code::CodeInfo;
pub use code::Ran;
pub use code::ResultCode;
pub use error_body::ErrorBody;
pub use error_body::ErrorDetail;
pub use refusal::Refusal;
