//! Daemons and stand-ins as processes of their own, for experiments and tests.

mod child;
mod usage;

pub use child::ChildProcess;
pub use child::ProcessError;
pub use usage::ProcessUsage;
