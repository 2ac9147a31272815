//! The task that owns the scheduler. Requests reach it by messages through a [`Dispatcher`].
//!
//! A request holds a [`Leg`] for each send; dropping it without an outcome counts the send as ended
//! for a reason that tells nothing of the upstream.

mod dispatcher;
mod leg;
mod task;

pub use dispatcher::Dispatcher;
pub use dispatcher::Purpose;
pub use leg::Leg;
pub use task::DispatchTask;
