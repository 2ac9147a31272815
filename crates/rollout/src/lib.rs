//! Roll-out of model weights and roles to engines.
//!
//! One record in the platform's store holds the owner, its fencing number and the loads in
//! progress. A load is written to the record before its command is sent, so that every later owner
//! counts it against the limits. Ownership is not exclusive: two nodes may believe that they own
//! the roll-out. That is safe because the second owner's compare-and-swap of the record fails, its
//! commands carry an outdated fencing number, or they repeat a load that is already in the record.

mod command;
mod engine_report;
mod ownership;
mod plan;
mod record;
mod status;
mod task;

pub use command::CommandKind;
pub use command::CommandOutcome;
pub use command::CommandSender;
pub use command::EngineCommand;
pub use command::LoadCommand;
pub use command::RoleCommand;
pub use engine_report::EngineReport;
pub use engine_report::EngineReports;
pub use ownership::Owning;
pub use ownership::Rollout;
pub use ownership::Step;
pub use ownership::Watching;
pub use plan::Backoffs;
pub use plan::Plan;
pub use plan::is_complete;
pub use plan::plan;
pub use record::LoadEntry;
pub use record::ROLLOUT_KEY;
pub use record::RoleEntry;
pub use record::RolloutRecord;
pub use status::RolloutStatus;
pub use task::RolloutInputs;
pub use task::RolloutTask;
