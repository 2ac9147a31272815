//! Chat completions: from a caller's request to its complete response.
//!
//! ```text
//! received -> parsed -> admitted -> streaming -> complete
//!     |          |          |           |
//!     +----------+----------+-----------+-> refused, with a code
//! ```
//!
//! A relay task streams the output of one or more attempts to the caller; see [`redwingrill_stream`]
//! for the rules of recovery. All responses use the same relay: a response that is not streamed is
//! assembled from the stream, so that it survives the same faults.

mod handler;
mod relay;
mod request;

pub use handler::Caller;
pub use handler::Completions;
pub use request::CompletionRequest;
pub(crate) use request::DEFAULT_MAX_TOKENS;
