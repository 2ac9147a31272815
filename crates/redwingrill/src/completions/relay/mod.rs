//! The task that feeds one caller's answer from the legs behind it.
//!
//! ```text
//!                 leg opened                 end marker
//! Life<Opening> -------------> Life<Streaming> ----------> complete
//!    ^   |                        |
//!    |   +------------------------+
//!    |              | fault
//!    |              v
//!    +------- Life<Faulted> ------> failed
//!     resume or replace
//! ```
//!
//! From each state a caller that hangs up ends the life at once and cancels the leg.

mod completion;
mod lifecycle;

use http::StatusCode;

pub(super) use completion::Completion;
pub(super) use completion::CompletionParts;
pub(super) use lifecycle::run;

use crate::Refusal;
use redwingrill_stream::Chunk;
use redwingrill_stream::Usage;

/// What the relay tells the caller's side.
#[derive(Debug)]
pub(super) enum Event {
    /// The next chunk.
    Chunk(Chunk),
    /// The answer is complete.
    Complete(Option<Usage>),
    /// The answer ends with an error.
    Failed(Refusal),
    /// The engine found the request itself at fault.
    Rejected { status: StatusCode, message: String },
}
