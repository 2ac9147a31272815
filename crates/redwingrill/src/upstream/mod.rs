//! Clients of upstreams, and the set of upstreams that are leaving.

mod attempt;
mod engine;
mod leaving;

pub use attempt::AttemptStream;
pub use engine::CompletionCall;
pub use engine::EngineClient;
pub use engine::EngineTimeouts;
pub use engine::StartError;
pub use leaving::LeavingUpstreams;
