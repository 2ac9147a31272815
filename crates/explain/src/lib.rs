//! The question where a request would go, and the answer of a node, as they are sent over HTTP.
//!
//! Nodes on the platform and nodes with the product's own interface decide by different code; both
//! answer in this form, so one command asks and prints both.

mod answer;
mod fault;
mod query;
mod text;

pub use answer::AccountAnswer;
pub use answer::Answer;
pub use answer::CoordinatorAnswer;
pub use answer::CostComponent;
pub use answer::DecisionAnswer;
pub use answer::Outcome;
pub use answer::QueueAnswer;
pub use answer::QuotaAnswer;
pub use answer::ServiceAnswer;
pub use answer::ShareAnswer;
pub use answer::Standing;
pub use answer::UpstreamAnswer;
pub use answer::rounded_ms;
pub use fault::ExplainFault;
pub use query::ExplainQuery;
pub use query::PartQuery;
pub use query::QueryError;
