//! Admission of requests and the choice of engines.
//!
//! One task owns all state; requests reach it by messages through a [`Dispatcher`]. A request holds
//! a [`Ticket`] while it is in the system; dropping the ticket frees its place.

mod messages;
mod task;

pub use messages::Ask;
pub use messages::Dispatcher;
pub use messages::EngineTarget;
pub use messages::Ticket;
pub use task::Dispatch;
pub use task::DispatchState;
