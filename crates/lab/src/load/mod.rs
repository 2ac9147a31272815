//! Load on a site: who asks what and when, and what became of it.
//!
//! A plan is made before it runs and depends on its seed alone, so that several policies meet the
//! same load.

mod balancer;
mod latencies;
mod plan;
mod prompts;
mod run;

pub use balancer::Balancer;
pub use latencies::Latencies;
pub use plan::Accounts;
pub use plan::PlannedCall;
pub use plan::Priorities;
pub use plan::Traffic;
pub use plan::plan;
pub use prompts::PromptLibrary;
pub use run::Record;
pub use run::RunWindow;
pub use run::run;
