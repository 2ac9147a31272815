//! Chat completions: from a caller's request to its complete answer.
//!
//! ```text
//! received -> parsed -> admitted -> streaming -> complete
//!     |          |          |           |
//!     +----------+----------+-----------+-> refused, with a code
//! ```
//!
//! A relay task feeds the caller from one or more legs; see [`redwingrill_stream`] for the rules of
//! recovery. Every answer goes through the same relay: one that the caller wants whole is
//! gathered from the stream, so that it survives the same faults.

mod handler;
mod relay;
mod request;

pub use handler::Caller;
pub use handler::Completions;
pub use request::CompletionRequest;
