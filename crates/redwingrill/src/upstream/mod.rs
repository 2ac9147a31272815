//! Calls to upstreams.

mod engine;
mod leg;

pub use engine::CompletionCall;
pub use engine::EngineClient;
pub use engine::EngineTimeouts;
pub use engine::StartError;
pub use leg::LegStream;
