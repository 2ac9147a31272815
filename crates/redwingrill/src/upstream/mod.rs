//! Calls to upstreams.

mod engine;
mod leaving;
mod leg;

pub use engine::CompletionCall;
pub use engine::EngineClient;
pub use engine::EngineTimeouts;
pub use engine::StartError;
pub use leaving::LeavingUpstreams;
pub use leg::LegStream;
