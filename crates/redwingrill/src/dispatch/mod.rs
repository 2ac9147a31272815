//! Admission of requests and the choice of engines.
//!
//! One task owns all state; requests send it messages through a [`Dispatcher`]. An admitted request
//! owns a [`Ticket`]; dropping the ticket releases its capacity.
//!
//! ```text
//!  admit ──► waiting ──► started ──► first token ──► ended
//!    │          │           │ ▲ replaced    │ ▲ replaced
//!    ▼          ▼           ▼ │             ▼ │
//!  refused   refused,      retrying ◄───────┘
//!            withdrawn
//! ```
//!
//! Invariants: each admitted request is in exactly one of these states and ends exactly once; a
//! refusal before `started` has a code that states that the request was not run.

mod attempts;
mod core;
mod engines;
mod explain;
mod load_poll;
mod messages;
mod model_queue;
mod observations;
mod retries;
mod schedule_request;
mod state;
mod task;
mod ticket;

pub use engines::EngineClosure;
pub use explain::DispatchExplanation;
pub use explain::EngineOption;
pub use load_poll::LoadPoll;
pub(crate) use load_poll::fetch_load;
pub use messages::Dispatcher;
pub use observations::EngineLoadReport;
pub use schedule_request::PlannedRequest;
pub use schedule_request::PromptMessage;
pub use schedule_request::ScheduleRequest;
pub use state::DispatchState;
pub use state::EngineSlotState;
pub use state::ModelQueueState;
pub use task::Dispatch;
pub use task::DispatchOptions;
pub use ticket::EngineTarget;
pub use ticket::Ticket;
