//! The scheduler, which chooses an upstream for each request.

mod account_shares;
mod backlog;
mod choose;
mod core;
mod cost;
mod delegation;
mod eligibility;
mod explain;
mod outcome;
mod pacing;
mod rank;
mod request;
mod sampling;
mod shortage;
mod signals;
mod usual_demand;
mod wait_queue;

pub use self::core::Scheduler;
pub use self::core::SchedulerOptions;
pub use cost::UpstreamCost;
pub use eligibility::Ineligibility;
pub use explain::Explanation;
pub use explain::QueueExplanation;
pub use explain::Standing;
pub use explain::UpstreamExplanation;
pub use outcome::AttemptEffect;
pub use outcome::AttemptOutcome;
use rank::Rank;
pub use request::AccountShare;
pub use request::Assignment;
pub use request::Choice;
pub use request::RefusalCause;
pub use request::ScheduleRequest;
pub use shortage::CapacityLimit;
pub use shortage::Shortage;
pub use wait_queue::WaitQueue;
