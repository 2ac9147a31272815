//! The task that relays the output of attempts to one caller.
//!
//! ```text
//!              attempt opened                end marker
//! Relay<Opening> ------------> Relay<Streaming> ----------> complete
//!    ^   |                        |
//!    |   +------------------------+
//!    |              | fault
//!    |              v
//!    +------- Relay<Faulted> -----> failed
//!     resume or replace
//! ```
//!
//! In each state, a caller that disconnects ends the relay and cancels the attempt.

mod completion;
mod lifecycle;

use http::StatusCode;

pub(super) use completion::Completion;
pub(super) use completion::CompletionParts;
pub(super) use lifecycle::run;

use crate::Refusal;
use redwingrill_stream::Chunk;
use redwingrill_stream::Usage;

/// An event that the relay sends to the request handler.
#[derive(Debug)]
pub(super) enum Event {
    /// The next chunk.
    Chunk(Chunk),
    /// The completion is complete.
    Complete(Option<Usage>),
    /// The completion ends with an error.
    Failed(Refusal),
    /// The engine rejected the request as invalid.
    Rejected { status: StatusCode, message: String },
}
