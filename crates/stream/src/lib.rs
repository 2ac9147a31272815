//! Server-sent event streams of completions: parsing, resumption and validation.
//!
//! A caller's stream consists of one or more attempts. An attempt is the stream of one request to
//! one engine, over one or more connections. Invariants:
//!
//! - each event of an attempt is delivered once and in order, over whichever connection it arrives;
//! - a stream is complete only after a finish reason followed by the end marker;
//! - an event of another request is never delivered and ends the attempt with a fault.

mod assembler;
mod chunk;
mod recovery;
mod sse;
mod transcript;

pub use assembler::CompletionAssembler;
pub use chunk::Chunk;
pub use chunk::PromptTokensDetails;
pub use chunk::Usage;
pub use recovery::Fault;
pub use recovery::Recovery;
pub use recovery::RecoveryAction;
pub use recovery::RecoveryLimits;
pub use sse::SseError;
pub use sse::SseEvent;
pub use sse::SseParser;
pub use transcript::Delivery;
pub use transcript::StreamError;
pub use transcript::Transcript;
