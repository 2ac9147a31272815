//! The choice of an upstream for a request.

mod ask;
mod choose;
mod core;
mod cost;
mod outcome;
mod pace;
mod sample;
mod waiting;

pub use self::core::Scheduler;
pub use self::core::SchedulerOptions;
pub use ask::Ask;
pub use ask::Assignment;
pub use ask::Choice;
pub use ask::RefusalCause;
pub use outcome::LegOutcome;
pub use waiting::WaitingRoom;
