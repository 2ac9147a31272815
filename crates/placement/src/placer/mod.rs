//! Selection of an engine for a prompt.
//!
//! ```text
//!  place ──► Placement ──► first_token ──► finish
//!    │                                       ▲
//!    └────────── (failed, cancelled) ────────┘
//! ```
//!
//! The caller must call `finish` exactly once for each placement that `place` returns, and
//! `first_token` at most once between the two. Load reports and cache events may arrive at any
//! time, and may be late, repeated or missing.

mod baselines;
mod cost;
mod decision;
mod explanation;
mod policy;
mod state;
mod types;

pub use cost::PlacementCost;
pub use decision::Placer;
pub use explanation::PlacementExplanation;
pub use explanation::PlacementOption;
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
