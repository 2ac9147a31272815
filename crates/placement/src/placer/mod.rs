//! The choice of an engine for a prompt.
//!
//! ```text
//!  place ──► Placement ──► first_token ──► finish
//!    │                                       ▲
//!    └────────── (failed, cancelled) ────────┘
//! ```
//!
//! Each `place` that returns a placement is followed by exactly one `finish` for it; `first_token`
//! comes between them at most once. Load reports and cache events come at any time, late, repeated
//! or not at all.

mod baselines;
mod cost;
mod decision;
mod policy;
mod state;
mod types;

pub use decision::Placer;
pub use policy::Policy;
pub use policy::UnknownPolicy;
pub use state::EngineState;
pub use state::PlacerState;
pub use types::Availability;
pub use types::CacheEvent;
pub use types::Finished;
pub use types::FirstToken;
pub use types::Placement;
pub use types::PlacementRequest;
