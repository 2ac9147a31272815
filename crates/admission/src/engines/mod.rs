//! How much work an engine gets, and when work is sent again.
//!
//! ```text
//!             failures               pause over              time, no failure
//!  Healthy ─────────────► Ejected ───────────────► Returning ─────────────────► Healthy
//!                            ▲                         │ failure
//!                            └─────────────────────────┘ (longer pause)
//! ```
//!
//! Invariants: an ejected engine gets nothing; a returning engine's limit only grows until it fails
//! again; a budget never holds more than its burst.

mod budget;
mod concurrency;
mod health;

pub use budget::Budget;
pub use concurrency::ConcurrencyLimit;
pub use concurrency::Pressure;
pub use health::EngineHealth;
pub use health::HealthState;
