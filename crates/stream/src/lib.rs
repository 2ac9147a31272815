//! Server-sent event streams of completions: parsing, resuming, and completion checks.
//!
//! A caller's stream is fed by one or more legs. A leg is the stream of one request to one engine,
//! over one or more connections. Invariants held here:
//!
//! - each event of a leg is delivered once and in order, whatever connection it came over;
//! - a stream is complete only after its end marker, and a finish reason before it;
//! - an event of another request ends the leg with a fault and is never delivered.

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
