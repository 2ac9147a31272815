//! The task that owns the scheduler. Requests reach it by messages through a [`Dispatcher`].
//!
//! A request holds a [`Leg`] for each send; dropping it without an outcome counts the send as ended
//! for a reason that tells nothing of the upstream.

mod attempt;
mod dispatcher;
mod task;

pub use attempt::Attempt;
pub use dispatcher::Dispatcher;
pub use dispatcher::Purpose;
pub use task::DispatchTask;
