//! The task that owns the scheduler. Requests send it messages through a [`Dispatcher`].
//!
//! A request holds an [`Attempt`] for each send to an upstream. If it is dropped without an
//! outcome, the attempt ends with an unknown verdict, which does not affect the health of the
//! upstream. A request of an account with a quota holds a [`Charge`], which refunds its tokens when it
//! is dropped, unless the request may have run.

mod account_quotas;
mod attempt;
mod charge;
mod dispatcher;
mod peer_message;
mod stream_origins;
mod task;

pub use account_quotas::QuotaNode;
pub use attempt::Attempt;
pub use charge::Charge;
pub use charge::QuotaRefusal;
pub use dispatcher::DecisionView;
pub use dispatcher::Dispatcher;
pub use dispatcher::Purpose;
pub use dispatcher::UpstreamLoad;
pub use peer_message::PeerMessage;
pub use task::DispatchTask;
