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
mod facts;
mod policy;
mod state;
mod table;

pub use facts::CacheEvent;
pub use facts::Finished;
pub use facts::FirstToken;
pub use facts::Gate;
pub use facts::PlaceRequest;
pub use facts::Placement;
pub use policy::Policy;
pub use policy::PolicyUnknown;
pub use state::EngineState;
pub use state::PlacerState;
pub use table::Placer;
