//! The task that owns the scheduler. Requests send it messages through a [`Dispatcher`].
//!
//! A request holds an [`Attempt`] for each send to an upstream. If it is dropped without an
//! outcome, the attempt ends with an unknown verdict, which does not affect the health of the
//! upstream.

mod attempt;
mod dispatcher;
mod task;

pub use attempt::Attempt;
pub use dispatcher::DecisionView;
pub use dispatcher::Dispatcher;
pub use dispatcher::Purpose;
pub use dispatcher::UpstreamLoad;
pub use task::DispatchTask;
